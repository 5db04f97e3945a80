package capacity

import (
	"encoding/json"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/message"
)

// listIterations is how often the VM list is encoded and decoded for a mean.
const listIterations = 50

// MeasureVMList measures the transfer of the VM list, which a node fetches in full after each
// change of the list.
func MeasureVMList(r TablePrinter, nodes int) error {
	xs := []float64{}
	bytes, encodeTime := Series{Name: "answer to a peer, B"}, Series{Name: "encode, us"}
	decodeTime, fanout := Series{Name: "decode, us"}, Series{Name: "whole fleet fetches, KB"}
	for _, targets := range []int{38, 400, 1500} {
		list := api.VMList{Version: 1, VMs: append(targetVMs(targets, 80), nodeVMs(nodes)...)}
		encoded := encodeJSON(list)
		xs = append(xs, float64(targets))
		size := float64(messageSize(message.Message{From: selfName, Address: peerAddress(0), VmAnswer: &message.VmAnswer{List: encoded}}))
		bytes.Values = append(bytes.Values, size)
		fanout.Values = append(fanout.Values, size*float64(nodes)/1024)
		before := currentUsage()
		for range listIterations {
			_ = encodeJSON(list)
		}
		encodeTime.Values = append(encodeTime.Values, before.untilNow().cpuMicros(listIterations))
		before = currentUsage()
		for range listIterations {
			var decoded api.VMList
			err := json.Unmarshal(encoded, &decoded)
			if err != nil {
				return err
			}
		}
		decodeTime.Values = append(decodeTime.Values, before.untilNow().cpuMicros(listIterations))
	}
	r.PrintFit("(d) one change of the list of VMs", "targets", xs, 0, bytes, encodeTime, decodeTime, fanout)
	return nil
}
