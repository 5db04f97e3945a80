// Package retry decides, without doing any input or output, what a failed try
// means and whether another one is allowed.
package retry
