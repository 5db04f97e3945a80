package capacity

import (
	"encoding/json"
	"fmt"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/configuration"
	"github.com/fireflychute/fireflychute/pkg/message"
)

const (
	// appliedChanges is how many configuration changes are timed.
	appliedChanges = 50
	// operations is how many ids of commits a manifest holds.
	operations = 64
)

// Changes measures one configuration change by the size of the configuration.
func Changes(r Report) error {
	xs := []float64{}
	delta, full, manifest := Series{Name: "delta, B"}, Series{Name: "full, B"}, Series{Name: "manifest at the platform, B"}
	apply, decode := Series{Name: "apply a delta, us"}, Series{Name: "decode the manifest, us"}
	for _, services := range []int{3, 20, 80} {
		c, err := changeOf(services)
		if err != nil {
			return err
		}
		xs = append(xs, float64(services))
		delta.Values = append(delta.Values, float64(c.delta))
		full.Values = append(full.Values, float64(c.full))
		manifest.Values = append(manifest.Values, float64(c.manifest))
		apply.Values = append(apply.Values, c.apply)
		decode.Values = append(decode.Values, c.decode)
	}
	r.Print("(d) one configuration change", "services", xs, 80, delta, full, manifest, apply, decode)
	return nil
}

// change is the cost of one change; sizes in bytes, times in microseconds.
type change struct {
	delta, full, manifest int
	apply, decode         float64
}

func changeOf(services int) (change, error) {
	sender, receiver := configuration.NewStore(), configuration.NewStore()
	objects := declaration(services)
	first, blobs := withOperations(objects)
	_, err := sender.Accept(1, first, blobs)
	if err != nil {
		return change{}, err
	}
	c := change{full: encodedSize(sender.Delta(0))}
	_, err = receiver.ApplyDelta(sender.Delta(0))
	if err != nil {
		return change{}, err
	}
	deltas := []configuration.Delta{}
	for i := range appliedChanges {
		objects[firstWorkKind] = changedKind(objects[firstWorkKind], 1000+i)
		next, blobs := withOperations(objects)
		c.manifest = len(encode(next))
		_, err = sender.Accept(uint64(2+i), next, blobs)
		if err != nil {
			return change{}, err
		}
		deltas = append(deltas, sender.Delta(uint64(1+i)))
	}
	c.delta = encodedSize(deltas[0])
	before := now()
	for _, delta := range deltas {
		_, err = receiver.ApplyDelta(delta)
		if err != nil {
			return change{}, err
		}
	}
	c.apply = before.spent().micros(appliedChanges)
	c.decode, err = decodeTime(encode(first))
	return c, err
}

func decodeTime(encoded []byte) (float64, error) {
	before := now()
	for range appliedChanges {
		var manifest api.Manifest
		err := json.Unmarshal(encoded, &manifest)
		if err != nil {
			return 0, err
		}
	}
	return before.spent().micros(appliedChanges), nil
}

func changedKind(object api.Object, timeoutMs int) api.Object {
	object.Generation++
	object.Spec = encode(workKind(timeoutMs))
	return object
}

func withOperations(objects []api.Object) (api.Manifest, map[string][]byte) {
	manifest, blobs := manifestOf(objects)
	for i := range operations {
		manifest.Operations = append(manifest.Operations, fmt.Sprintf("OPERATION%017d", i)) // as long as a random one
	}
	return manifest, blobs
}

func encodedSize(delta configuration.Delta) int {
	return messageSize(message.Message{From: selfName, Address: peerAddress(0), ConfigDelta: &delta})
}

// messageSize returns the encoded bytes of a message of the project's own types,
// which always encode.
func messageSize(m message.Message) int {
	encoded, err := m.MarshalMsg(nil)
	if err != nil {
		panic(err)
	}
	return len(encoded)
}
