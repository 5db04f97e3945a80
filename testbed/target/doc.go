// Package target is a stand-in for a target: execution slots, a queue, a connection
// limit and cost, cold start, drain, delayed load reports, defective versions, and a
// log of executions by request ID.
package target
