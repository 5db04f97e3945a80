// Package message defines the messages between nodes and their msgpack codecs, generated from
// schema/messages.json. It imports no network code.
//
// Message is the envelope: exactly one of its pointer fields is set. Member, Fact and Applied are
// encoded as arrays, which halves the size of a gossip message; fields can therefore not be added
// to them, and an extension needs a new message type. All other messages are encoded as maps whose
// unknown fields are skipped, so that nodes of two versions can exchange them. The decoder limits
// the length of arrays and maps, so that a short frame cannot cause a large allocation. Documents
// of the platform can exceed that limit; they are encoded as strings, whose length the frame
// bounds.
package message

//go:generate go tool -modfile=../../tools/go.mod go-jsonschema -p message --only-models --tags msg --schema-root-type messages.json=Message -o types_gen.go ../../schema/messages.json
//go:generate go tool -modfile=../../tools/go.mod msgp -file types_gen.go -o codec_gen.go -tests=false -io=false -d "tuple Member Fact Applied" -d "limit arrays:65536 maps:64"
