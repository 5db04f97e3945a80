package edge

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fireflychute/fireflychute/testbed/metastore"
)

// statuses returns the statuses of a path through each node.
func (c *cluster) statuses(path string) map[string]int {
	statuses := map[string]int{}
	for _, n := range c.nodes {
		statuses[n.name] = c.callPath(n, path)
	}
	return statuses
}

// configureRoute writes a configuration whose only route has the prefix.
func (c *cluster) configureRoute(version, prefix string) {
	c.store.Put("config", "main", map[string]any{
		"version":  version,
		"services": []any{map[string]any{"name": "s", "health-path": "/health", "max-conns": 260, "warmup-s": 3, "warmup-per-s": 7.8}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 1 << 20, "header-timeout-s": 3, "idle-timeout-s": 15},
		"vhosts": []any{map[string]any{"host": "h.example", "paths": []any{
			map[string]any{"name": "r", "path-prefix": prefix, "type": "safe", "timeout-s": 2, "slo-s": 0.6, "priority": 1, "service": "s", "attempts": 2},
		}}},
	})
}

// restore takes the store away for a moment and brings it back from a copy.
func (c *cluster) restore(from metastore.Copy) {
	c.server.SetFaults(metastore.Faults{Down: true})
	time.Sleep(500 * time.Millisecond)
	c.store.Restore(from)
	c.server.SetFaults(metastore.Faults{})
}

// Guards against a change that is not in force after the store came back from an older copy, against a configuration
// that goes back to that of the copy, and against nodes that call the store without a pause until its count of revisions
// has passed the former one. Two restores follow each other.
func TestChangesAreInForceAfterTheStoreIsRestored(t *testing.T) {
	c := newCluster(t, 4, 3)
	c.start()
	older := c.store.Copy()
	c.configureRoute("0000000b", "/first/")
	c.g.Eventually(func() map[string]int { return c.statuses("/first/1") }, "3s", "20ms").Should(Equal(c.sameStatus(http.StatusOK)))
	for range 20 {
		c.store.Put("servers", "i-none", map[string]any{"state": time.Now().String()}) // raises the revision
	}
	for range 2 {
		c.restore(older)
		c.g.Consistently(func() map[string]int { return c.statuses("/first/1") }, "1s", "50ms").Should(Equal(c.sameStatus(http.StatusOK)))
	}
	before := c.server.Counts()
	c.configureRoute("0000000d", "/second/")
	c.g.Eventually(func() map[string]int { return c.statuses("/second/1") }, "2s", "20ms").Should(Equal(c.sameStatus(http.StatusOK)))
	c.g.Consistently(func() map[string]int { return c.statuses("/first/1") }, "2s", "100ms").Should(Equal(c.sameStatus(http.StatusNotFound)))
	after := c.server.Counts()
	const maxReads = 120
	c.g.Expect(after.Reads-before.Reads).To(BeNumerically("<", maxReads), "watches of two nodes for up to four seconds")
}

// Guards against what the system wrote itself being lost with an older copy: entries of nodes, and steps and statuses of
// rollouts. An order of which the copy has no final status would be carried out again, to targets that have gone.
func TestSystemsOwnObjectsAreWrittenAgainAfterARestore(t *testing.T) {
	c := newCluster(t, 4, 3)
	beforeStart := c.store.Copy()
	c.start()
	order := map[string]any{"service": "s", "target-version": "v2", "duration-s": 1.0}
	c.store.Put("rollouts", "s", order)
	state := func() string {
		object, _ := c.store.Get("rollouts", "s")
		var status struct {
			State string `json:"state"`
		}
		if json.Unmarshal(object.Status, &status) != nil {
			return ""
		}
		return status.State
	}
	// No target has the version, so that the order ends by being rolled back.
	c.g.Eventually(state, "12s", "20ms").Should(Equal("rolled_back"))
	c.restore(beforeStart)
	c.store.Put("rollouts", "s", order) // the operator writes its order again
	c.g.Eventually(state, "6s", "20ms").Should(Equal("rolled_back"))
	count := func(kind string) func() int {
		return func() int { objects, _ := c.store.List(kind); return len(objects) }
	}
	c.g.Eventually(count("fireflychute-nodes"), "5s", "20ms").Should(Equal(4))
	c.g.Eventually(count("fireflychute-steps"), "5s", "20ms").Should(Equal(1))
	c.g.Expect(c.callAll()).To(Equal(c.sameStatus(http.StatusOK)))
}

// Guards against targets being dropped that registered after the copy was made, and against a target that had left
// receiving requests again because the copy has its entry.
func TestTargetsAreKeptWhenTheStoreIsRestored(t *testing.T) {
	c := newCluster(t, 3, 3)
	left, newer := c.instances[0], c.instances[2]
	c.store.Remove("servers", newer.ID())
	c.start()
	older := c.store.Copy()
	c.register(newer, "v1", "ready")
	c.store.Remove("servers", left.ID())
	newerServes := func() int { c.callAll(); return len(newer.Runs()) }
	c.g.Eventually(newerServes, "5s", "20ms").Should(BeNumerically(">", 0))
	time.Sleep(time.Second)
	leftBefore := len(left.Runs())
	c.restore(older)
	time.Sleep(200 * time.Millisecond)
	newerBefore := len(newer.Runs())
	for range 20 {
		c.g.Expect(c.callAll()).To(Equal(c.sameStatus(http.StatusOK)))
	}
	c.g.Expect(len(newer.Runs())).To(BeNumerically(">", newerBefore), "registered after the copy")
	c.register(newer, "v1", "ready") // the instance writes its entry again
	time.Sleep(3 * time.Second)
	c.store.Remove("servers", left.ID()) // silent for three heartbeats
	for range 20 {
		c.g.Expect(c.callAll()).To(Equal(c.sameStatus(http.StatusOK)))
	}
	c.g.Expect(left.Runs()).To(HaveLen(leftBefore), "it left before the restore")
}
