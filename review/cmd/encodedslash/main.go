// Command encodedslash sends unsafe requests whose path has an encoded slash to instances of which some lose answers.
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
	clients  = 12
	work     = 100 * time.Millisecond
	deadline = 3 * time.Second
	// A disruption as in a day of the site file: a share of the instances lose a part of their answers for some time.
	faultyShare, lost = 0.6, 0.4
	windowLength      = 4 * time.Second
	instances         = 5
	// path begins with the prefix of the unsafe route and, as it is sent, with no longer one.
	path = "/order/read%2F2f"
)

type script struct {
	*lab.Lab
	mu    sync.Mutex
	runs  map[string][]string
	paths map[string]int
	count map[int]int
	drops int
	lost  lab.Window
	stop  atomic.Bool
}

func main() {
	lab.Run(func(l *lab.Lab) (bool, error) {
		s := &script{Lab: l, runs: map[string][]string{}, paths: map[string]int{}, count: map[int]int{}}
		return s.run()
	})
}

func (s *script) run() (bool, error) {
	for i := range instances {
		instance := &lab.Instance{ID: fmt.Sprintf("i-%d", i), Service: "lehu44b", Slots: 6, Work: work, BodyBytes: 1500, OnEvent: s.onEvent}
		if i < faultyShare*instances {
			instance.LoseAnswer = func() bool { return s.lost.Open() && rand.Float64() < lost }
		}
		err := s.StartInstance(instance)
		if err != nil {
			return false, err
		}
	}
	s.Configure(
		lab.Route{Name: "order", Kind: "unsafe", Service: "lehu44b", Timeout: 2.5, Objective: 0.8, Attempts: 2},
		lab.Route{Name: "order/read", Kind: "safe", Service: "lehu44b", Timeout: 2.5, Objective: 0.8, Attempts: 2},
	)
	err := s.Start(3)
	if err != nil {
		return false, err
	}
	var running sync.WaitGroup
	for i := range clients {
		running.Go(func() { s.client(i) })
	}
	time.Sleep(3 * time.Second)
	s.Disrupt(&s.lost, "answer_lost, reset", windowLength)
	time.Sleep(3 * time.Second)
	s.stop.Store(true)
	running.Wait()
	time.Sleep(time.Second)
	return s.judge()
}

func (s *script) onEvent(i *lab.Instance, what, id, path string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Note("request %s: %s %s %s", id, i.ID, what, path)
	switch what {
	case "runs":
		s.runs[id] = append(s.runs[id], i.ID)
		s.paths[path]++
	case "loses the answer":
		s.drops++
	}
}

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
			s.Note("client %d: request %s, POST %s, sent to %s", number, id, path, node.Name)
			open = conn.Send(http.MethodPost, path, id, deadline, "an order") == nil
			a := conn.Receive(0)
			s.Note("client %d: request %s answered with %d %v", number, id, a.Status, a.Err)
			s.mu.Lock()
			s.count[a.Status]++
			s.mu.Unlock()
			open = open && a.Err == nil && !a.Close
			time.Sleep(time.Duration(50+rand.IntN(50)) * time.Millisecond)
		}
		_ = conn.Close()
	}
}

func (s *script) judge() (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	twice := 0
	for id, targets := range s.runs {
		if len(targets) > 1 {
			twice++
			s.Note("request %s RAN TWICE, at %v", id, targets)
		}
	}
	s.Note("sum: answers by status %v; runs by path %v; %d answers lost; %d requests ran twice", s.count, s.paths, s.drops, twice)
	if s.count[200] == 0 {
		return false, fmt.Errorf("no request was answered")
	}
	return twice > 0, nil
}
