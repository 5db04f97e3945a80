// Package quota keeps the rate limits that targets name for all nodes together. It does no I/O.
package quota
