package capacity

import (
	"encoding/json"
	"fmt"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/configuration"
	"github.com/fireflychute/fireflychute/pkg/message"
)

const (
	// timedChanges is the number of configuration changes that are timed.
	timedChanges = 50
	// manifestOperations is the number of operation IDs of commits in a manifest.
	manifestOperations = 64
)

// MeasureChanges measures the cost of one configuration change at several sizes of the
// configuration.
func MeasureChanges(r TablePrinter) error {
	xs := []float64{}
	delta, full, manifest := Series{Name: "delta, B"}, Series{Name: "full, B"}, Series{Name: "manifest at the platform, B"}
	apply, decode := Series{Name: "apply a delta, us"}, Series{Name: "decode the manifest, us"}
	for _, services := range []int{3, 20, 80} {
		c, err := measureChange(services)
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
	r.PrintFit("(d) one configuration change", "services", xs, 80, delta, full, manifest, apply, decode)
	return nil
}

// changeCost is the cost of one configuration change: sizes in bytes, CPU times in microseconds.
type changeCost struct {
	delta, full, manifest int
	apply, decode         float64
}

func measureChange(services int) (changeCost, error) {
	sender, receiver := configuration.NewStore(), configuration.NewStore()
	objects := declaration(services)
	first, blobs := manifestWithOperations(objects)
	_, err := sender.Accept(1, first, blobs)
	if err != nil {
		return changeCost{}, err
	}
	c := changeCost{full: encodedSize(sender.Delta(0))}
	_, err = receiver.ApplyDelta(sender.Delta(0))
	if err != nil {
		return changeCost{}, err
	}
	deltas := []configuration.Delta{}
	for i := range timedChanges {
		objects[firstWorkKindIndex] = withTimeout(objects[firstWorkKindIndex], 1000+i)
		next, blobs := manifestWithOperations(objects)
		c.manifest = len(encodeJSON(next))
		_, err = sender.Accept(uint64(2+i), next, blobs)
		if err != nil {
			return changeCost{}, err
		}
		deltas = append(deltas, sender.Delta(uint64(1+i)))
	}
	c.delta = encodedSize(deltas[0])
	before := currentUsage()
	for _, delta := range deltas {
		_, err = receiver.ApplyDelta(delta)
		if err != nil {
			return changeCost{}, err
		}
	}
	c.apply = before.untilNow().cpuMicros(timedChanges)
	c.decode, err = manifestDecodeMicros(encodeJSON(first))
	return c, err
}

func manifestDecodeMicros(encoded []byte) (float64, error) {
	before := currentUsage()
	for range timedChanges {
		var manifest api.Manifest
		err := json.Unmarshal(encoded, &manifest)
		if err != nil {
			return 0, err
		}
	}
	return before.untilNow().cpuMicros(timedChanges), nil
}

func withTimeout(object api.Object, timeoutMs int) api.Object {
	object.Generation++
	object.Spec = encodeJSON(workKind(timeoutMs))
	return object
}

func manifestWithOperations(objects []api.Object) (api.Manifest, map[string][]byte) {
	manifest, blobs := manifestOf(objects)
	for i := range manifestOperations {
		manifest.Operations = append(manifest.Operations, fmt.Sprintf("OPERATION%017d", i)) // as long as a random ID
	}
	return manifest, blobs
}

func encodedSize(delta configuration.Delta) int {
	return messageSize(message.Message{From: selfName, Address: peerAddress(0), ConfigDelta: &delta})
}

// messageSize returns the encoded size of a message in bytes. It panics on an encoding error, which
// the project's own message types never cause.
func messageSize(m message.Message) int {
	encoded, err := m.MarshalMsg(nil)
	if err != nil {
		panic(err)
	}
	return len(encoded)
}
