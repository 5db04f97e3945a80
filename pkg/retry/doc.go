// Package retry classifies the outcome of a failed attempt and decides whether another attempt is
// allowed. It does no I/O.
package retry
