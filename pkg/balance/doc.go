// Package balance chooses the target of a request from load reports that are
// always stale.
package balance
