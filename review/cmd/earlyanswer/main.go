// Command earlyanswer uploads long bodies to instances that begin their answer before they have read the whole body.
package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"review/lab"
)

const (
	clients  = 40
	deadline = 10 * time.Second
	route    = "bundle"
	// pieceBytes are sent at a time, with a pause after each: a link of about 10 Mbit/s.
	pieceBytes = 16 << 10
	piecePause = 13 * time.Millisecond
	// earlyAfter is how much of the body an instance has read when it begins its answer.
	earlyAfter = 64 << 10
	// A disruption as fleetbench kinds gives it: a share of the instances begin a part of their answers early for some
	// time. It comes windows times, with a pause after each.
	instances           = 5
	faultyShare, early  = 0.4, 0.02
	windowLength, pause = 5 * time.Second, 2 * time.Second
	windows             = 8
)

func env(name string, value int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return value
}

var (
	uploadBytes = env("UPLOAD", 1_250_000)
	answerBytes = env("ANSWER", 200_000)
)

type script struct {
	*lab.Lab
	garble   lab.Window
	stop     atomic.Bool
	mu       sync.Mutex
	answered int
	begun    int
	wrong    int
	whole    int
	cut      int
}

func main() {
	lab.Run(func(l *lab.Lab) (bool, error) {
		s := &script{Lab: l}
		return s.run()
	})
}

func (s *script) run() (bool, error) {
	for i := range instances {
		err := s.startInstance(fmt.Sprintf("i-%d", i), i < faultyShare*instances)
		if err != nil {
			return false, err
		}
	}
	s.Configure(lab.Route{Name: route, Kind: "download", Service: "lehu44b", Timeout: 10, Objective: 5, Attempts: 2})
	err := s.Start(3)
	if err != nil {
		return false, err
	}
	var running sync.WaitGroup
	for i := range clients {
		running.Go(func() {
			for !s.stop.Load() {
				s.upload(i)
			}
		})
	}
	for range windows {
		s.Disrupt(&s.garble, "garble, early", windowLength)
		time.Sleep(pause)
	}
	s.stop.Store(true)
	running.Wait()
	time.Sleep(time.Second)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Note("sum: %d answers whole, %d begun early; bodies at instances: %d whole, %d cut off, %d with OTHER BYTES", s.answered, s.begun, s.whole, s.cut, s.wrong)
	if s.answered == 0 {
		return false, fmt.Errorf("no upload was answered")
	}
	return s.wrong > 0, nil
}

// content returns the body of an upload: numbered lines that bear its id.
func content(id string) []byte {
	b := make([]byte, 0, uploadBytes+64)
	for line := int64(10_000_000); len(b) < uploadBytes; line++ {
		b = append(append(b, id...), ' ')
		b = append(strconv.AppendInt(b, line, 10), '\n')
	}
	return b[:uploadBytes]
}

func (s *script) upload(number int) {
	node := s.Nodes[number%len(s.Nodes)]
	conn, err := lab.Dial(node)
	if err != nil {
		s.Note("client %d: no connection: %v", number, err)
		return
	}
	defer conn.Close()
	id := s.NewID()
	s.Note("client %d: upload %s of %d bytes sent to %s", number, id, uploadBytes, node.Name)
	answered := make(chan lab.Answer, 1)
	go func() { answered <- conn.Receive(0) }()
	writer := bufio.NewWriter(conn)
	fmt.Fprintf(writer, "POST /%s/2f HTTP/1.1\r\nHost: %s\r\nFireflychute-Request-Id: %s\r\nFireflychute-Deadline-Ms: %d\r\nTransfer-Encoding: chunked\r\n\r\n", route, lab.Host, id, deadline.Milliseconds())
	body := content(id)
	for len(body) > 0 && err == nil {
		piece := body[:min(pieceBytes, len(body))]
		body = body[len(piece):]
		fmt.Fprintf(writer, "%x\r\n%s\r\n", len(piece), piece)
		err = writer.Flush()
		time.Sleep(piecePause)
	}
	_, _ = io.WriteString(writer, "0\r\n\r\n")
	_ = writer.Flush()
	a := <-answered
	s.Note("client %d: upload %s answered with %d, %d bytes, write %v, read %v", number, id, a.Status, len(a.Body), err, a.Err)
	if a.IsWhole(id, answerBytes) {
		s.mu.Lock()
		s.answered++
		s.mu.Unlock()
	}
}

// startInstance starts an instance that serves uploads.
func (s *script) startInstance(name string, faulty bool) error {
	listener, err := net.Listen("tcp", "127.0.42.1:0")
	if err != nil {
		return err
	}
	s.Register(&lab.Instance{ID: name, Address: listener.Addr().String(), Service: "lehu44b", Slots: 6})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(name, faulty, conn)
		}
	}()
	return nil
}

func (s *script) serve(name string, faulty bool, conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := request.Header.Get("Fireflychute-Request-Id")
		if request.URL.Path == "/health" {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nFireflychute-Instance-Id: "+name+"\r\nFireflychute-Instance-Load: 0,0,6,100\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		s.Note("upload %s: %s runs it", id, name)
		received := make([]byte, earlyAfter, uploadBytes+1)
		n, err := io.ReadFull(request.Body, received)
		received = received[:n]
		answersEarly := err == nil && faulty && s.garble.Open() && rand.Float64() < early
		if answersEarly {
			s.Note("upload %s: %s begins its answer after %d bytes", id, name, n)
			s.mu.Lock()
			s.begun++
			s.mu.Unlock()
			answer(conn, id)
		}
		rest, err := io.ReadAll(request.Body)
		received = append(received, rest...)
		s.judge(name, id, received, err)
		if err != nil {
			return
		}
		if !answersEarly {
			answer(conn, id)
		}
	}
}

func answer(conn net.Conn, id string) {
	body := lab.Body(id, answerBytes)
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nFireflychute-Request-Id: %s\r\nFireflychute-Response-Seal: %s\r\nContent-Length: %d\r\n\r\n%s", id, lab.Seal(id, body), len(body), body)
}

func (s *script) judge(name, id string, received []byte, err error) {
	sent := content(id)
	same := 0
	for same < min(len(sent), len(received)) && sent[same] == received[same] {
		same++
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case same == len(sent) && err == nil:
		s.whole++
		s.Note("upload %s: %s has read the whole body", id, name)
	case same == len(received) && err != nil:
		s.cut++
		s.Note("upload %s: %s has read %d bytes, then the connection ended: %v", id, name, same, err)
	default:
		s.wrong++
		found := string(received[same:min(len(received), same+27)])
		s.Note("upload %s: %s has read OTHER BYTES from byte %d of %d on: %q instead of %q; the body ended after %d bytes: %v", id, name, same, len(sent), strings.TrimSpace(found), strings.TrimSpace(string(sent[same:min(len(sent), same+27)])), len(received), err)
	}
}
