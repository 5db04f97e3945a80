// Package target is a stand-in for a target: slots, a queue, a connection limit
// and cost, cold start, drain, load reports that lag, bad versions, and a log of
// executions by request id.
package target
