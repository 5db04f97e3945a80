package bench

// policies by name. All but "fireflychute" are baselines.
var policies = map[string]func(*run) policy{
	"random":          func(r *run) policy { return newBaseline(r, pickRandom) },
	"round robin":     func(r *run) policy { return newBaseline(r, pickRoundRobin) },
	"least in flight": func(r *run) policy { return newBaseline(r, pickLeast) },
	"two choices":     func(r *run) policy { return newBaseline(r, pickTwoChoices) },
	"fireflychute":    newDesign,
}

// Policies returns the names in the order of the table.
func Policies() []string {
	return []string{"random", "round robin", "least in flight", "two choices", "fireflychute"}
}

// baseline sends each request at once, by what its own node knows.
type baseline struct {
	run      *run
	pick     func(b *baseline, node int) int
	inFlight [][]int // by node and target
	turn     []int
}

func newBaseline(r *run, pick func(*baseline, int) int) *baseline {
	b := &baseline{run: r, pick: pick, turn: make([]int, r.scenario.Nodes)}
	for node := range r.scenario.Nodes {
		b.inFlight = append(b.inFlight, make([]int, r.scenario.Targets))
		b.turn[node] = node
	}
	return b
}

func (b *baseline) take(q *request) {
	to := b.pick(b, q.node)
	b.inFlight[q.node][to]++
	b.run.send(q, to)
}

func (b *baseline) done(q *request, _ verdict) {
	b.inFlight[q.node][q.target]--
}

func pickRandom(b *baseline, _ int) int {
	return b.run.random.IntN(b.run.scenario.Targets)
}

func pickRoundRobin(b *baseline, node int) int {
	b.turn[node] = (b.turn[node] + 1) % b.run.scenario.Targets
	return b.turn[node]
}

func pickLeast(b *baseline, node int) int {
	counts := b.inFlight[node]
	first := b.run.random.IntN(len(counts)) // random order among equals
	best := first
	for i := range counts {
		at := (first + i) % len(counts)
		if counts[at] < counts[best] {
			best = at
		}
	}
	return best
}

func pickTwoChoices(b *baseline, node int) int {
	x, y := pickRandom(b, node), pickRandom(b, node)
	if b.inFlight[node][y] < b.inFlight[node][x] {
		return y
	}
	return x
}
