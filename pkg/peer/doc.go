// Package peer carries messages between nodes over TCP, with optional mutual TLS.
// A frame is a 4-byte big-endian length and a msgpack message. A client keeps one
// connection per peer and uses it for messages without an answer and for calls;
// answers are paired with calls by the message's call number.
package peer
