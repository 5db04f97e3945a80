package edge

import (
	"bytes"
	"compress/flate"
	"io"
	"strings"
	"sync"

	"github.com/pkg/errors"

	"github.com/fireflychute/fireflychute/pkg/message"
)

const (
	// compressThreshold is the size in bytes from which on a reply is compressed. A
	// configuration with many routes or a list of all targets shrinks to a tenth;
	// uncompressed it would take seconds on the links of small nodes.
	compressThreshold = 4 << 10
	// maxDecompressedBytes limits the size of a decompressed reply.
	maxDecompressedBytes = 64 << 20
	// maxCachedReplies is the number of compressed replies in the cache. Nodes with the same
	// revisions receive the same reply.
	maxCachedReplies = 8
)

// replyEncoder compresses replies and caches the latest ones.
type replyEncoder struct {
	mu     sync.Mutex
	keys   []string
	cached map[string]string
}

// encode returns the reply to send: the deltas of large ones are compressed, small ones are
// returned as they are. key identifies the deltas in the cache.
func (e *replyEncoder) encode(key string, reply *message.ReplicaAnswer) (*message.ReplicaAnswer, error) {
	if reply.Msgsize() < compressThreshold {
		return reply, nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	compressed, ok := e.cached[key]
	if !ok {
		var err error
		compressed, err = compress(reply)
		if err != nil {
			return nil, err
		}
		e.store(key, compressed)
	}
	return &message.ReplicaAnswer{
		StaleMs: reply.StaleMs, Silent: reply.Silent, Limits: reply.Limits, LimitsAsOf: reply.LimitsAsOf, Packed: compressed,
	}, nil
}

func (e *replyEncoder) store(key, compressed string) {
	if e.cached == nil {
		e.cached = map[string]string{}
	}
	if len(e.keys) == maxCachedReplies {
		delete(e.cached, e.keys[0])
		e.keys = e.keys[1:]
	}
	e.keys = append(e.keys, key)
	e.cached[key] = compressed
}

func compress(reply *message.ReplicaAnswer) (string, error) {
	encoded, err := (&message.ReplicaAnswer{Deltas: reply.Deltas}).MarshalMsg(nil)
	if err != nil {
		return "", errors.Wrap(err, "encode replica reply")
	}
	var compressed bytes.Buffer
	writer, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return "", errors.Wrap(err, "compress replica reply")
	}
	_, err = writer.Write(encoded)
	if err != nil {
		return "", errors.Wrap(err, "compress replica reply")
	}
	err = writer.Close()
	if err != nil {
		return "", errors.Wrap(err, "compress replica reply")
	}
	return compressed.String(), nil
}

// decodeDeltas returns the deltas of a reply, decompressed if necessary.
func decodeDeltas(reply *message.ReplicaAnswer) ([]message.ReplicaDelta, error) {
	if len(reply.Packed) == 0 {
		return reply.Deltas, nil
	}
	encoded, err := io.ReadAll(io.LimitReader(flate.NewReader(strings.NewReader(reply.Packed)), maxDecompressedBytes))
	if err != nil {
		return nil, errors.Wrap(err, "decompress replica reply")
	}
	var decoded message.ReplicaAnswer
	_, err = decoded.UnmarshalMsg(encoded)
	return decoded.Deltas, errors.Wrap(err, "decode replica reply")
}
