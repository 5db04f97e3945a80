// Command pipelined stops a node with SIGTERM while clients that pipeline read their answers.
package main

import (
	"fmt"
	"os"
	"strconv"
	"sync"
	"time"

	"review/lab"
)

const (
	clients = 12
	// secondAfter is how long after its first request a client sends the second one on the same connection.
	secondAfter = 100 * time.Millisecond
	work        = 300 * time.Millisecond
	deadline    = 4 * time.Second
	route       = "photo"
)

var (
	bodyBytes      = env("BODY", 540_000)
	bytesPerSecond = env("RATE", 4_000_000)
)

func env(name string, value int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return value
}

type script struct {
	*lab.Lab
	mu       sync.Mutex
	ran      map[string]string // request id -> instance that ran it to its end
	answered int
	lost     int
	behind   int
	stop     chan struct{}
}

func main() {
	lab.Run(func(l *lab.Lab) (bool, error) {
		s := &script{Lab: l, ran: map[string]string{}, stop: make(chan struct{})}
		return s.run()
	})
}

func (s *script) run() (bool, error) {
	for i := range 4 {
		err := s.StartInstance(&lab.Instance{ID: fmt.Sprintf("i-%d", i), Service: "yemi37c", Slots: 6, Work: work, BodyBytes: bodyBytes, OnEvent: s.onEvent})
		if err != nil {
			return false, err
		}
	}
	s.Configure(lab.Route{Name: route, Kind: "download", Service: "yemi37c", Timeout: 4, Objective: 0.6, Attempts: 2})
	err := s.Start(3)
	if err != nil {
		return false, err
	}
	var running sync.WaitGroup
	for i := range clients {
		running.Go(func() {
			time.Sleep(time.Duration(i) * 83 * time.Millisecond)
			s.client(i)
		})
	}
	time.Sleep(4 * time.Second)
	if s.Trouble {
		s.Terminate(s.Nodes[0])
	}
	time.Sleep(8 * time.Second)
	close(s.stop)
	running.Wait()
	s.Note("sum: %d answers whole, %d requests not read behind an answer that closes the connection, %d requests run by an instance whose answer was cut off", s.answered, s.behind, s.lost)
	if s.answered == 0 {
		return false, fmt.Errorf("no request was answered")
	}
	return s.lost > 0, nil
}

func (s *script) onEvent(i *lab.Instance, what, id, path string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Note("request %s: %s %s", id, i.ID, what)
	if what == "ends" {
		s.ran[id] = i.ID
	}
}

// client uses a kept connection to the first node while that takes connections, then to the second one.
func (s *script) client(number int) {
	for {
		node := s.Nodes[0]
		conn, err := lab.Dial(node)
		if err != nil {
			node = s.Nodes[1]
			conn, err = lab.Dial(node)
		}
		if err != nil {
			s.Note("client %d: no connection: %v", number, err)
			return
		}
		for open := true; open; {
			select {
			case <-s.stop:
				_ = conn.Close()
				return
			default:
			}
			open = s.pair(number, node, conn)
		}
		_ = conn.Close()
	}
}

// pair sends two requests, the second before the answer to the first, and reads both answers. It returns false if the
// connection is at its end.
func (s *script) pair(number int, node *lab.Node, conn *lab.Conn) bool {
	first, second := s.NewID(), s.NewID()
	s.Note("client %d: request %s sent to %s", number, first, node.Name)
	if conn.Send("GET", "/"+route+"/2f", first, deadline, "") != nil {
		return false // sent on a connection that the node has closed
	}
	time.Sleep(secondAfter)
	s.Note("client %d: request %s sent behind it", number, second)
	sendErr := conn.Send("GET", "/"+route+"/2f", second, deadline, "")
	sentAt := time.Now()
	for _, id := range []string{first, second} {
		a := conn.Receive(bytesPerSecond)
		late := time.Since(sentAt) > deadline-secondAfter
		if !s.judge(number, id, a, late) || a.Close {
			if id == first && a.Close {
				s.count(&s.behind)
				s.Note("client %d: request %s is not read: the answer before it closes the connection", number, second)
			}
			return false
		}
	}
	return sendErr == nil
}

func (s *script) count(n *int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*n++
}

// judge reports whether the answer to a request is whole.
func (s *script) judge(number int, id string, a lab.Answer, late bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	target, ran := s.ran[id]
	switch {
	case a.IsWhole(id, bodyBytes):
		s.answered++
		s.Note("client %d: request %s answered, %d bytes, close %v", number, id, len(a.Body), a.Close)
		return true
	case a.Err != nil && ran && !late:
		s.lost++
		s.Note("client %d: request %s LOST: run by %s to its end, then the connection ended after %d of %d bytes: %v", number, id, target, len(a.Body), bodyBytes, a.Err)
	default:
		s.Note("client %d: request %s not answered: status %d, ran %v, late %v, %v", number, id, a.Status, ran, late, a.Err)
	}
	return false
}
