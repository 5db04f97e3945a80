// Package balance chooses the target of a request from load reports, taking into account that these
// are always stale.
package balance
