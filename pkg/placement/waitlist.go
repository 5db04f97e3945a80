package placement

import (
	"slices"
	"sync"
)

// Waitlist holds the requests for one service that wait at a node for a target with free
// capacity. It absorbs short peaks above the capacity of the targets: a slot that becomes free
// is used at once by a request that can still meet its objective, whereas a retry of its caller
// would come too early or too late. Only the first waiter probes targets, so that waiting
// requests do not load the targets with probes.
type Waitlist struct {
	mu      sync.Mutex
	waiters []*Waiter
}

// Waiter is a request on a waitlist.
type Waiter struct {
	// priority of the route; 0 is the most urgent.
	priority int
	ready    chan struct{}
}

// Ready returns the channel that signals the waiter to select a target again.
func (w *Waiter) Ready() <-chan struct{} { return w.ready }

// Join adds a request. Waiters are ordered by priority, then newest first: under sustained
// overload the newest can still meet its objective, the oldest hardly.
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

// Leave removes a waiter. If it was the first, the next one is notified.
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

// IsFirst reports whether a waiter is the one that probes targets.
func (l *Waitlist) IsFirst(w *Waiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiters) > 0 && l.waiters[0] == w
}

// IsEmpty reports whether no request waits.
func (l *Waitlist) IsEmpty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiters) == 0
}

// NotifySlotFreed notifies the first waiter that a target has a free slot.
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
	default: // the previous notification is still pending
	}
}
