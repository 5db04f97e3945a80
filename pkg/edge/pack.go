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
	// compressThreshold is the size from which on an answer is compressed. A configuration of
	// many routes or a list of all targets takes a tenth of the bytes then; as it is, it
	// would take seconds on the links of small nodes.
	compressThreshold = 4 << 10
	// maxDecompressedBytes bounds what a compressed answer may grow to.
	maxDecompressedBytes = 64 << 20
	// maxCachedReplies is how many compressed answers are kept. Nodes that are at the same
	// point get the same one.
	maxCachedReplies = 8
)

// replyEncoder compresses answers and keeps the latest ones.
type replyEncoder struct {
	mu     sync.Mutex
	keys   []string
	cached map[string]string
}

// encode returns the answer as it is to be sent. key identifies its changes.
func (p *replyEncoder) encode(key string, reply *message.ReplicaAnswer) (*message.ReplicaAnswer, error) {
	if reply.Msgsize() < compressThreshold {
		return reply, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	compressed, ok := p.cached[key]
	if !ok {
		var err error
		compressed, err = compress(reply)
		if err != nil {
			return nil, err
		}
		p.store(key, compressed)
	}
	return &message.ReplicaAnswer{StaleMs: reply.StaleMs, Silent: reply.Silent, Packed: compressed}, nil
}

func (p *replyEncoder) store(key, compressed string) {
	if p.cached == nil {
		p.cached = map[string]string{}
	}
	if len(p.keys) == maxCachedReplies {
		delete(p.cached, p.keys[0])
		p.keys = p.keys[1:]
	}
	p.keys = append(p.keys, key)
	p.cached[key] = compressed
}

func compress(reply *message.ReplicaAnswer) (string, error) {
	encoded, err := reply.MarshalMsg(nil)
	if err != nil {
		return "", errors.Wrap(err, "encode answer")
	}
	var compressed bytes.Buffer
	writer, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return "", errors.Wrap(err, "compress answer")
	}
	_, err = writer.Write(encoded)
	if err != nil {
		return "", errors.Wrap(err, "compress answer")
	}
	err = writer.Close()
	if err != nil {
		return "", errors.Wrap(err, "compress answer")
	}
	return compressed.String(), nil
}

// decodeDeltas returns the changes of an answer.
func decodeDeltas(reply *message.ReplicaAnswer) ([]message.ReplicaDelta, error) {
	if len(reply.Packed) == 0 {
		return reply.Deltas, nil
	}
	encoded, err := io.ReadAll(io.LimitReader(flate.NewReader(strings.NewReader(reply.Packed)), maxDecompressedBytes))
	if err != nil {
		return nil, errors.Wrap(err, "expand answer")
	}
	var decoded message.ReplicaAnswer
	_, err = decoded.UnmarshalMsg(encoded)
	return decoded.Deltas, errors.Wrap(err, "decode answer")
}
