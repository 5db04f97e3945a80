package control

import (
	"context"
	"encoding/json"
	"time"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/membership"
	"github.com/fireflychute/fireflychute/pkg/message"
)

const roleNode = "node"

// acceptVMs takes in a list of VMs that is newer than the present one.
func (c *Controller) acceptVMs(now time.Time, list api.VMList) {
	if list.Version <= c.vms.Version {
		return
	}
	c.vms = list
	c.vmsEncoded = nil
	c.dirty = true
	c.handleTargetChanges(c.registry.ApplyList(now, list))
	c.members.SetListedNodes(now, nodeAddresses(list))
	c.sync.announceVMs(list.Version, "")
	c.publishFact(now, membership.Fact{Key: factVMs, Epoch: uint64(list.Version), Version: firstFactNumber, Value: []byte(c.options.Self.Address)})
}

func nodeAddresses(list api.VMList) []string {
	addresses := []string{}
	for _, vm := range list.VMs {
		if vm.Role == roleNode {
			addresses = append(addresses, vm.Address)
		}
	}
	return addresses
}

// fetchVMs asks a peer, and the platform when peers failed.
func (c *Controller) fetchVMs(time.Time) {
	peer := c.sync.vms.announcer
	if c.sync.vms.attempts > 1 {
		peer = c.randomPeer(0)
	}
	if peer == "" || peer == c.options.Self.Address || c.sync.vms.usesPlatform() {
		c.loadVMs()
		return
	}
	have := uint64(c.vms.Version)
	c.runInBackground(peerCallTimeout, func(ctx context.Context) event {
		reply, err := c.options.Peers.Call(ctx, peer, message.Message{VmFetch: &message.VmFetch{Have: have}})
		return func(now time.Time) {
			c.sync.vms.fetching = false
			if err != nil || reply.VmAnswer == nil {
				return
			}
			var list api.VMList
			if json.Unmarshal(reply.VmAnswer.List, &list) == nil {
				c.acceptVMs(now, list)
			}
		}
	})
}

func (c *Controller) loadVMs() {
	c.runInBackground(platformCallTimeout, func(ctx context.Context) event {
		list, _, err := c.options.Store.VMs(ctx, 0)
		return func(now time.Time) {
			c.sync.vms.fetching = false
			c.recordPlatformResult(now, err)
			if err == nil {
				c.acceptVMs(now, list)
			}
		}
	})
}

// vmReply answers a peer with the present list. It is encoded once, because all
// nodes may ask the node that announced it.
func (c *Controller) vmReply() *message.Message {
	if c.vmsEncoded == nil {
		list, err := json.Marshal(c.vms)
		if err != nil {
			return nil
		}
		c.vmsEncoded = list
	}
	return &message.Message{VmAnswer: &message.VmAnswer{List: c.vmsEncoded}}
}
