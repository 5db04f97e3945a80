package bench

import (
	"container/heap"
	"time"
)

// clock is a simulated clock that runs events in the order of their time, and events of the same
// time in the order in which they were scheduled.
type clock struct {
	now       time.Duration
	events    events
	scheduled int
}

type event struct {
	at    time.Duration
	order int
	run   func()
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e *events) Push(x any) { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (c *clock) schedule(delay time.Duration, run func()) {
	c.scheduled++
	heap.Push(&c.events, event{c.now + delay, c.scheduled, run})
}

func (c *clock) run(until time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= until {
		next := heap.Pop(&c.events).(event)
		c.now = next.at
		next.run()
	}
}
