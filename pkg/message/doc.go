// Package message holds the messages between nodes and their msgpack codecs,
// generated from schema/messages.json. It imports no network code.
//
// Message is the envelope: exactly one of its pointer fields is set. Member, Fact
// and Applied are encoded as arrays, which halves the bytes of a gossip message;
// a field can therefore not be added to them, only a new message type. All other
// messages are maps whose unknown fields are skipped, so that nodes of two
// versions can exchange them. Arrays and maps are limited in length on decoding, so
// that a short frame cannot announce a large allocation. Documents of the platform
// can be longer than that limit; they are strings, whose length the frame bounds.
package message

//go:generate go tool -modfile=../../tools/go.mod go-jsonschema -p message --only-models --tags msg --schema-root-type messages.json=Message -o types_gen.go ../../schema/messages.json
//go:generate go tool -modfile=../../tools/go.mod msgp -file types_gen.go -o codec_gen.go -tests=false -io=false -d "tuple Member Fact Applied" -d "limit arrays:65536 maps:64"
