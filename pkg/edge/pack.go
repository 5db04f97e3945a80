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
	// packBytes is the size from which on an answer is compressed. A configuration of
	// many routes or a list of all targets takes a tenth of the bytes then; as it is, it
	// would take seconds on the links of small nodes.
	packBytes = 4 << 10
	// maxUnpackedBytes bounds what a compressed answer may grow to.
	maxUnpackedBytes = 64 << 20
	// keptPacks is how many compressed answers are kept. Nodes that are at the same
	// point get the same one.
	keptPacks = 8
)

// packer compresses answers and keeps the latest ones.
type packer struct {
	mu   sync.Mutex
	keys []string
	kept map[string]string
}

// pack returns the answer as it is to be sent. key identifies its changes.
func (p *packer) pack(key string, answer *message.ReplicaAnswer) (*message.ReplicaAnswer, error) {
	if answer.Msgsize() < packBytes {
		return answer, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	packed, ok := p.kept[key]
	if !ok {
		var err error
		packed, err = compress(answer)
		if err != nil {
			return nil, err
		}
		p.keep(key, packed)
	}
	return &message.ReplicaAnswer{StaleMs: answer.StaleMs, Silent: answer.Silent, Packed: packed}, nil
}

func (p *packer) keep(key, packed string) {
	if p.kept == nil {
		p.kept = map[string]string{}
	}
	if len(p.keys) == keptPacks {
		delete(p.kept, p.keys[0])
		p.keys = p.keys[1:]
	}
	p.keys = append(p.keys, key)
	p.kept[key] = packed
}

func compress(answer *message.ReplicaAnswer) (string, error) {
	text, err := answer.MarshalMsg(nil)
	if err != nil {
		return "", errors.Wrap(err, "encode answer")
	}
	var packed bytes.Buffer
	writer, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return "", errors.Wrap(err, "compress answer")
	}
	_, err = writer.Write(text)
	if err != nil {
		return "", errors.Wrap(err, "compress answer")
	}
	err = writer.Close()
	if err != nil {
		return "", errors.Wrap(err, "compress answer")
	}
	return packed.String(), nil
}

// unpack returns the changes of an answer.
func unpack(answer *message.ReplicaAnswer) ([]message.ReplicaDelta, error) {
	if len(answer.Packed) == 0 {
		return answer.Deltas, nil
	}
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(strings.NewReader(answer.Packed)), maxUnpackedBytes))
	if err != nil {
		return nil, errors.Wrap(err, "expand answer")
	}
	var inner message.ReplicaAnswer
	_, err = inner.UnmarshalMsg(text)
	return inner.Deltas, errors.Wrap(err, "decode answer")
}
