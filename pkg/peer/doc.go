// Package peer is the transport for messages between nodes over TCP, with optional mutual TLS. A
// frame is a 4-byte big-endian length followed by a msgpack message. A client maintains one
// connection per peer for one-way messages and for calls; replies are matched to calls by the
// message's call number.
package peer
