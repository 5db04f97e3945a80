package capacity

import (
	"encoding/json"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/message"
)

const listRuns = 50

// Lists measures the transfer of the list of VMs, which a node fetches whole after
// each change of the list.
func Lists(r Report, nodes int) error {
	xs := []float64{}
	bytes, encodeTime := Series{Name: "answer to a peer, B"}, Series{Name: "encode, us"}
	decodeTime, fanout := Series{Name: "decode, us"}, Series{Name: "whole fleet fetches, KB"}
	for _, targets := range []int{38, 400, 1500} {
		list := api.VMList{Version: 1, VMs: append(targetVMs(targets, 80), nodeVMs(nodes)...)}
		encoded := encode(list)
		xs = append(xs, float64(targets))
		size := float64(messageSize(message.Message{From: selfName, Address: peerAddress(0), VmAnswer: &message.VmAnswer{List: encoded}}))
		bytes.Values = append(bytes.Values, size)
		fanout.Values = append(fanout.Values, size*float64(nodes)/1024)
		before := now()
		for range listRuns {
			_ = encode(list)
		}
		encodeTime.Values = append(encodeTime.Values, before.spent().micros(listRuns))
		before = now()
		for range listRuns {
			var copied api.VMList
			err := json.Unmarshal(encoded, &copied)
			if err != nil {
				return err
			}
		}
		decodeTime.Values = append(decodeTime.Values, before.spent().micros(listRuns))
	}
	r.Print("(d) one change of the list of VMs", "targets", xs, 0, bytes, encodeTime, decodeTime, fanout)
	return nil
}
