package edge

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fireflychute/fireflychute/pkg/catalog"
	"github.com/fireflychute/fireflychute/pkg/message"
	"github.com/fireflychute/fireflychute/pkg/topology"
)

// openOrder returns a controller with one rollout in progress.
func openOrder() (*controller, topology.Order) {
	c := testController("n1")
	order := topology.Order{
		Rollout: catalog.Rollout{Service: "s", Version: "v2", Duration: 10 * time.Second, State: catalog.RolloutInProgress}, Name: "s", ID: 7,
	}
	c.view.orders = map[string]topology.Order{"s": order}
	return c, order
}

// Guards against a leader that reports a version complete which other nodes have stopped using on their own
// counts: they would send requests to it again.
func TestLeaderLearnsWhichNodesBlockAVersion(t *testing.T) {
	g := NewWithT(t)
	c, order := openOrder()
	now := time.Now()
	tracked := c.track(now, order)
	c.recordOrders(now, "n2", []message.OrderReport{{Order: 7, Blocked: true}})
	c.recordOrders(now, "n2", []message.OrderReport{{Order: 7}}) // n2 has restarted
	c.recordOrders(now, "n3", []message.OrderReport{{Order: 7, Blocked: true}})
	g.Expect(c.progress(now, tracked, order, nil).BlockingNodes).To(Equal(2))
	g.Expect(c.orderReports(now)).To(ConsistOf(message.OrderReport{Order: 7}), "the node's own view")
	c.view.orders = nil
	c.updateRollouts(t.Context(), now)
	g.Expect(c.rollouts.blocking).To(BeEmpty(), "the record ends with the rollout")
}

// Guards against a restarted leader that takes a rollout for younger than it is, promotes it too late and misses
// its deadline.
func TestRestartedNodeAdoptsTheElapsedTimeOfARollout(t *testing.T) {
	g := NewWithT(t)
	c, order := openOrder()
	now := time.Now()
	tracked := c.track(now, order)
	c.recordOrders(now, "n2", []message.OrderReport{{Order: 7, ElapsedMs: 5000}})
	g.Expect(tracked.elapsed(now)).To(Equal(5 * time.Second))
	c.recordOrders(now, "n3", []message.OrderReport{{Order: 7, ElapsedMs: 4000}})
	g.Expect(tracked.elapsed(now.Add(time.Second))).To(Equal(6*time.Second), "a node that knows the order for less long changes nothing")
}

// Guards against a large share of a canary version that lasts because the leader that was to end it is gone.
func TestShareEndsWithoutALeader(t *testing.T) {
	g := NewWithT(t)
	c, order := openOrder()
	now := time.Now()
	c.view.steps = map[string]catalog.Step{"s": {Service: "s", Version: "v2", Order: 7, Share: 0.5, Until: 3 * time.Second}}
	c.updateRollouts(t.Context(), now)
	g.Expect(c.effectiveSteps()["s"].Share).To(Equal(0.5))
	c.updateRollouts(t.Context(), now.Add(4*time.Second))
	g.Expect(c.effectiveSteps()["s"].Share).To(BeZero())
	c.view.steps["s"] = catalog.Step{Service: "s", Version: "v2", Order: order.ID, Share: 0.1}
	c.updateRollouts(t.Context(), now.Add(5*time.Second))
	g.Expect(c.effectiveSteps()["s"].Share).To(Equal(0.1))
}

// Guards against a new leader that takes the counts of all other nodes, which arrive at once, for a high request
// rate, and therefore does not promote a good version before the deadline.
func TestCountsThatArriveAtOnceAreNoRequestRate(t *testing.T) {
	g := NewWithT(t)
	var tracked trackedRollout
	for _, rate := range []float64{3, 146, 27, 31} {
		tracked.updateRate(rate)
	}
	g.Expect(tracked.requestRate).To(BeNumerically("<=", 31))
	for range rateSamples {
		tracked.updateRate(60)
	}
	g.Expect(tracked.requestRate).To(Equal(60.0), "a rate that has changed for good")
}
