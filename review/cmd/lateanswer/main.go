// Command lateanswer sends unsafe requests to instances of which some repeat an answer late.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"review/lab"
)

const (
	clients  = 90
	work     = 100 * time.Millisecond
	deadline = 4 * time.Second
	route    = "pay"
	// A disruption as in the site file: a share of the instances repeat a part of their answers for some time. It comes
	// windows times, with a pause after each.
	faultyShare, repeated = 0.6, 0.03
	windowLength, pause   = 5 * time.Second, 2 * time.Second
	windows               = 12

	instances, slots, queue = 10, 2, 1
)

type script struct {
	*lab.Lab
	mu      sync.Mutex
	runs    map[string][]string // request id -> instances that ran it
	status  map[string]int      // request id -> status that the client got
	counts  map[int]int
	repeats int
	garble  lab.Window
	stop    atomic.Bool
}

func main() {
	lab.Run(func(l *lab.Lab) (bool, error) {
		s := &script{Lab: l, runs: map[string][]string{}, status: map[string]int{}, counts: map[int]int{}}
		return s.run()
	})
}

func (s *script) run() (bool, error) {
	for i := range instances {
		instance := &lab.Instance{ID: fmt.Sprintf("i-%d", i), Service: "lehu44b", Slots: slots, Queue: queue, Work: work, BodyBytes: 1500, NoLoad: true, OnEvent: s.onEvent}
		if i < faultyShare*instances {
			instance.Extra = func() bool { return s.garble.Open() && rand.Float64() < repeated }
		}
		err := s.StartInstance(instance)
		if err != nil {
			return false, err
		}
	}
	s.Configure(lab.Route{Name: route, Kind: "unsafe", Service: "lehu44b", Timeout: 4, Objective: 0.8, Attempts: 2})
	err := s.Start(3)
	if err != nil {
		return false, err
	}
	var running sync.WaitGroup
	for i := range clients {
		running.Go(func() { s.client(i) })
	}
	for range windows {
		s.Disrupt(&s.garble, "garble, extra late", windowLength)
		time.Sleep(pause)
	}
	s.stop.Store(true)
	running.Wait()
	time.Sleep(time.Second) // runs that are still to come
	return s.judge()
}

func (s *script) onEvent(i *lab.Instance, what, id, path string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Note("request %s: %s %s", id, i.ID, what)
	switch {
	case what == "runs":
		s.runs[id] = append(s.runs[id], i.ID)
	case what != "ends" && what != "arrives" && what != "cut" && what != "rejected":
		s.repeats++
	}
}

// client sends requests on a kept connection, one after the other, and comes back after a refusal as told.
func (s *script) client(number int) {
	node := s.Nodes[number%len(s.Nodes)]
	for !s.stop.Load() {
		conn, err := lab.Dial(node)
		if err != nil {
			s.Note("client %d: no connection: %v", number, err)
			return
		}
		for open := true; open && !s.stop.Load(); {
			id := s.NewID()
			s.Note("client %d: request %s sent to %s", number, id, node.Name)
			open = conn.Send(http.MethodPost, "/"+route+"/2f", id, deadline, "a payment") == nil
			a := conn.Receive(0)
			s.Note("client %d: request %s answered with %d %v", number, id, a.Status, a.Err)
			s.mu.Lock()
			s.status[id] = a.Status
			s.counts[a.Status]++
			s.mu.Unlock()
			open = open && a.Err == nil && !a.Close
			time.Sleep(time.Duration(100+rand.IntN(200)) * time.Millisecond)
		}
		_ = conn.Close()
	}
}

func (s *script) judge() (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	twice, refused := 0, 0
	for id, targets := range s.runs {
		status := s.status[id]
		if len(targets) > 1 {
			twice++
			s.Note("request %s RAN TWICE, at %v; the client got %d", id, targets, status)
		}
		if status == 503 || status == 429 || status == 408 || status == 421 {
			refused++
			s.Note("request %s RAN at %v although the client got %d", id, targets, status)
		}
	}
	s.Note("sum: answers by status %v; %d answers repeated late; %d requests ran twice; %d refused requests ran", s.counts, s.repeats, twice, refused)
	if s.counts[200] == 0 {
		return false, fmt.Errorf("no request was answered")
	}
	return twice > 0 || refused > 0, nil
}
