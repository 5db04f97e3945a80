package quota

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// design is one way to keep a limit over all nodes. ask reports whether a node may send.
type design interface {
	ask(now time.Time, node int) bool
}

// localLimits lets each node apply the whole limit.
type localLimits struct{ buckets []*Bucket }

func (d *localLimits) ask(now time.Time, node int) bool { return d.buckets[node].TryTake(now) }

// equalShares gives each node a turn per interval, from a random phase. A
// node keeps an unused turn for lapse, 0 for ever.
type equalShares struct {
	interval, lapse time.Duration
	next            []time.Time
}

func (d *equalShares) ask(now time.Time, node int) bool {
	if now.Before(d.next[node]) {
		return false
	}
	if d.lapse > 0 {
		for d.next[node].Add(d.lapse).Before(now) {
			d.next[node] = d.next[node].Add(d.interval)
		}
		if now.Before(d.next[node]) {
			return false
		}
	}
	d.next[node] = now.Add(d.interval)
	return true
}

func newEqualShares(nodes int, rate float64, lapse time.Duration, random *rand.Rand) *equalShares {
	d := &equalShares{interval: time.Duration(float64(nodes) / rate * float64(time.Second)), lapse: lapse}
	for range nodes {
		d.next = append(d.next, start.Add(time.Duration(random.Float64()*float64(d.interval))))
	}
	return d
}

// singleOwner lets one node alone send.
type singleOwner struct {
	owner  int
	bucket *Bucket
}

func (d *singleOwner) ask(now time.Time, node int) bool {
	return node == d.owner && d.bucket.TryTake(now)
}

// lendingOwner is the Allocator.
type lendingOwner struct{ fleet *simFleet }

func (d *lendingOwner) ask(now time.Time, node int) bool {
	d.fleet.now = now
	n := d.fleet.nodes[node]
	return n.allocator.TryOwn(d.fleet.key) || n.allocator.Acquire(context.Background(), d.fleet.key).OK
}

// outcome is what a design did in a run.
type outcome struct {
	// excess is the worst window divided by what is allowed, used the share of the limit that was
	// used.
	excess, used float64
}

// runDesign plays calm seconds with few requests and bursts of many, unevenly over the nodes.
func runDesign(d design, nodes int, rate float64, random *rand.Rand) outcome {
	const length = 60 * time.Second
	f := &simFleet{random: random, nodes: make([]*simNode, nodes)}
	var sent []time.Time
	for now := start; now.Before(start.Add(length)); {
		load := 3*rate + 1
		if now.Sub(start)%(15*time.Second) > 12*time.Second {
			load *= 10
		}
		now = now.Add(time.Duration(random.ExpFloat64() / load * float64(time.Second)))
		if d.ask(now, f.sample()) {
			sent = append(sent, now)
		}
	}
	allowed := boundFactor*rate*boundWindow.Seconds() + boundSlack
	return outcome{
		excess: float64(worstWindow(sent, boundWindow, start.Add(boundWindow))) / allowed,
		used:   float64(len(sent)) / (rate * length.Seconds()),
	}
}

// Measures the designs that docs/design/target-limits.md weighs, with -v, and guards against the
// chosen one exceeding a limit or leaving most of it unused.
func TestDesigns(t *testing.T) {
	const seeds = 10
	g := NewWithT(t)
	names := []string{"each node the whole limit", "equal shares, turns kept", "equal shares, turns lapse after 0.5 s", "one owner sends alone", "owner lends (chosen)"}
	for _, nodes := range []int{13, 134, 472} {
		for _, rate := range []float64{1.5, 12} {
			for choice, name := range names {
				var worst, used float64
				asks := 0
				for seed := range uint64(seeds) {
					random := rand.New(rand.NewPCG(seed, 11))
					d, fleet := newDesign(choice, nodes, rate, random, seed)
					result := runDesign(d, nodes, rate, random)
					worst = max(worst, result.excess)
					used += result.used / seeds
					if fleet != nil {
						asks += int(fleet.asks.Load())
					}
				}
				t.Logf("%3d nodes, limit %4.1f: %-38s worst window %5.2f of the bound, %3.0f%% of the limit used, %.1f asks/s",
					nodes, rate, name, worst, 100*used, float64(asks)/seeds/60)
				if choice == len(names)-1 {
					g.Expect(worst).To(BeNumerically("<=", 1))
					g.Expect(used).To(BeNumerically(">=", 0.5))
				}
			}
		}
	}
}

func newDesign(choice, nodes int, rate float64, random *rand.Rand, seed uint64) (design, *simFleet) {
	switch choice {
	case 0:
		d := &localLimits{}
		for range nodes {
			d.buckets = append(d.buckets, NewBucket(rate, 1, start))
		}
		return d, nil
	case 1:
		return newEqualShares(nodes, rate, 0, random), nil
	case 2:
		return newEqualShares(nodes, rate, 500*time.Millisecond, random), nil
	case 3:
		return &singleOwner{owner: nodes / 2, bucket: NewBucket(rate, 1, start)}, nil
	default:
		f := newSimFleet(nodes, seed)
		for _, node := range f.nodes {
			node.table.Observe(f.key, named(rate), start, start)
		}
		return &lendingOwner{f}, f
	}
}
