// Package membership is the SWIM-style state machine that keeps the table of nodes
// and a bounded map of facts, and derives the counted fleet by which limits are
// divided. It does no input or output: the owner passes in time and received
// messages and sends the messages that are returned. A Machine is not safe for
// concurrent use.
//
// Limits hold if every node that uses its units is counted by every other node
// that uses its units: a node's part only shrinks when the counted fleet grows.
// A member is therefore counted while it may still be running, and a node uses no
// units before the counted members have acknowledged it (see Joined).
package membership
