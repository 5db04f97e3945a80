// Package membership implements SWIM-style cluster membership as a state machine without I/O. It
// maintains the member table and a bounded map of facts replicated by gossip and anti-entropy, and
// derives the counted nodes, between which limits are divided. The owner passes in the time and
// received messages and sends the messages that are returned. A Machine is not safe for concurrent
// use.
//
// Each node may use its share (its units) of a limit. The sum of the units in use stays within the
// limit if every node that uses its units is counted by every other node that does so, because a
// node's share only shrinks when the number of counted nodes grows. A member is therefore counted
// as long as it may still be running, and a node uses no units before the counted members have
// acknowledged it (see Joined).
package membership
