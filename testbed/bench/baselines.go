package bench

// policies maps names to constructors. All but "fireflychute" are baselines.
var policies = map[string]func(*run) policy{
	"random":          func(r *run) policy { return newBaseline(r, chooseRandom) },
	"round robin":     func(r *run) policy { return newBaseline(r, chooseRoundRobin) },
	"least in flight": func(r *run) policy { return newBaseline(r, chooseLeast) },
	"two choices":     func(r *run) policy { return newBaseline(r, chooseTwoChoices) },
	"fireflychute":    newProjectPolicy,
}

// Policies returns the names of the policies in the order of the table.
func Policies() []string {
	return []string{"random", "round robin", "least in flight", "two choices", "fireflychute"}
}

// baseline sends each request without queueing, to a target chosen by the state of its own node
// only.
type baseline struct {
	run        *run
	choose     func(b *baseline, node int) int
	inFlight   [][]int // by node and target
	lastTarget []int
}

func newBaseline(r *run, choose func(*baseline, int) int) *baseline {
	b := &baseline{run: r, choose: choose, lastTarget: make([]int, r.scenario.Nodes)}
	for node := range r.scenario.Nodes {
		b.inFlight = append(b.inFlight, make([]int, r.scenario.Targets))
		b.lastTarget[node] = node
	}
	return b
}

func (b *baseline) start(q *request) {
	to := b.choose(b, q.node)
	b.inFlight[q.node][to]++
	b.run.send(q, to)
}

func (b *baseline) complete(q *request, _ outcome) {
	b.inFlight[q.node][q.target]--
}

func chooseRandom(b *baseline, _ int) int {
	return b.run.random.IntN(b.run.scenario.Targets)
}

func chooseRoundRobin(b *baseline, node int) int {
	b.lastTarget[node] = (b.lastTarget[node] + 1) % b.run.scenario.Targets
	return b.lastTarget[node]
}

func chooseLeast(b *baseline, node int) int {
	counts := b.inFlight[node]
	first := b.run.random.IntN(len(counts)) // a random start breaks ties randomly
	best := first
	for i := range counts {
		at := (first + i) % len(counts)
		if counts[at] < counts[best] {
			best = at
		}
	}
	return best
}

func chooseTwoChoices(b *baseline, node int) int {
	x, y := chooseRandom(b, node), chooseRandom(b, node)
	if b.inFlight[node][y] < b.inFlight[node][x] {
		return y
	}
	return x
}
