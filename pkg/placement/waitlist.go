package placement

import (
	"slices"
	"sync"
)

// Waitlist has the requests for one service that wait at a node for a target with
// room. It answers short peaks above what the targets bear: a slot that becomes free is
// used at once, by a request that can still be in time, while its caller would come back
// too early or too late. Only the first of the list looks for room, so that waiting
// requests do not load the targets with questions.
type Waitlist struct {
	mu      sync.Mutex
	waiters []*Waiter
}

// Waiter is a request on a waitlist.
type Waiter struct {
	// Priority of the route, 0 the most urgent.
	priority int
	ready    chan struct{}
}

// Ready tells the waiter to look for room.
func (w *Waiter) Ready() <-chan struct{} { return w.ready }

// Join adds a request. More urgent routes come first, then the newest request: under
// lasting pressure the newest can be in time, the oldest hardly.
func (l *Waitlist) Join(priority int) *Waiter {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := &Waiter{priority: priority, ready: make(chan struct{}, 1)}
	at := slices.IndexFunc(l.waiters, func(other *Waiter) bool { return other.priority >= priority })
	if at < 0 {
		at = len(l.waiters)
	}
	l.waiters = slices.Insert(l.waiters, at, w)
	return w
}

// Leave removes a waiter. The one that is first now is woken.
func (l *Waitlist) Leave(w *Waiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := slices.Index(l.waiters, w)
	if at < 0 {
		return
	}
	l.waiters = slices.Delete(l.waiters, at, at+1)
	if at == 0 {
		l.notifyFirst()
	}
}

// IsFirst tells whether a waiter is the one that looks for room.
func (l *Waitlist) IsFirst(w *Waiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiters) > 0 && l.waiters[0] == w
}

// IsEmpty tells whether no request waits.
func (l *Waitlist) IsEmpty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiters) == 0
}

// NotifySlotFreed wakes the first waiter, since a target has a free slot.
func (l *Waitlist) NotifySlotFreed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notifyFirst()
}

func (l *Waitlist) notifyFirst() {
	if len(l.waiters) == 0 {
		return
	}
	select {
	case l.waiters[0].ready <- struct{}{}:
	default: // it has not yet followed the last call
	}
}
