package transport

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/fireflychute/fireflychute/internal/faultmatrix"
)

// failurePoints are the points at which a target can end or stall an exchange. after is what the
// target does before that, step lists the steps that the error may name, and runs is the maximum
// number of executions.
var failurePoints = []struct {
	name  string
	after connHandler
	step  []Step
	runs  int32
}{
	{"before reading", func(*rawTarget, *rawConn, int) {}, []Step{StepWrite, StepReadHeader}, 0},
	{"after the headers", func(t *rawTarget, c *rawConn, _ int) { t.readRequestHeader(c) }, []Step{StepWrite, StepReadHeader}, 1},
	{"in the body", func(t *rawTarget, c *rawConn, _ int) {
		t.readRequestHeader(c)
		_, _ = c.reader.ReadByte()
	}, []Step{StepWrite, StepReadHeader}, 1},
	{"before the response", func(t *rawTarget, c *rawConn, _ int) {
		t.readRequestHeader(c)
		_, _ = io.ReadFull(c.reader, make([]byte, 4))
	}, []Step{StepReadHeader}, 1},
	{"in the response headers", func(t *rawTarget, c *rawConn, _ int) {
		t.readRequestHeader(c)
		_, _ = io.ReadFull(c.reader, make([]byte, 4))
		c.write("HTTP/1.1 200 OK\r\nContent-")
	}, []Step{StepReadHeader}, 1},
	{"in the response body", func(t *rawTarget, c *rawConn, _ int) {
		t.readRequestHeader(c)
		_, _ = io.ReadFull(c.reader, make([]byte, 4))
		c.write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
	}, []Step{StepReadBody}, 1},
}

// Guards against the Transport resending a request, a wrong step in the error and a false NotRun
// when the target closes the connection at any step.
func TestCloseAtEachStep(t *testing.T) {
	faultmatrix.Proves(t, faultmatrix.ConnectionClosed, faultmatrix.RequestWriteHeaders, faultmatrix.RequestWriteBody, faultmatrix.RequestWait, faultmatrix.RequestReadHeaders, faultmatrix.RequestReadBody)
	for _, point := range failurePoints {
		t.Run(point.name, func(t *testing.T) {
			g := NewWithT(t)
			target := startRawTarget(t, point.after)
			request := newRequest(t.Context(), target, http.MethodPost, "a", strings.NewReader("body"))
			request.Header.Set(headerIdempotencyKey, "k")
			_, err := roundTrip(NewClient(), request)
			var failure *Error
			g.Expect(errors.As(err, &failure)).To(BeTrue())
			g.Expect(point.step).To(ContainElement(failure.Step))
			g.Expect(failure.Target).To(Equal(target.address()))
			g.Expect(target.accepted.Load()).To(Equal(int32(1)))
			g.Expect(target.executions.Load()).To(BeNumerically("<=", point.runs))
			if failure.NotRun {
				g.Expect(target.executions.Load()).To(BeZero())
			}
		})
	}
}

// Guards against reuse of a connection whose request was cancelled, and against a false NotRun,
// when the target stalls at any step.
func TestCancelAtEachStep(t *testing.T) {
	faultmatrix.Proves(t, faultmatrix.TargetSlow, faultmatrix.RequestWriteHeaders, faultmatrix.RequestWriteBody, faultmatrix.RequestWait, faultmatrix.RequestReadHeaders, faultmatrix.RequestReadBody, faultmatrix.RequestReuse)
	for _, point := range failurePoints {
		t.Run(point.name, func(t *testing.T) {
			g := NewWithT(t)
			target := startRawTarget(t, func(target *rawTarget, c *rawConn, n int) {
				if n > 1 {
					id, _ := target.readRequestHeader(c)
					c.write(okResponse(id))
					return
				}
				_, _ = c.reader.Peek(1) // a connection whose dial outlives its request carries no byte
				point.after(target, c, n)
				target.stall()
			})
			ctx, cancel := context.WithCancel(t.Context())
			go func() {
				<-target.stalled
				cancel()
			}()
			client := NewClient()
			_, err := roundTrip(client, newRequest(ctx, target, http.MethodPost, "a", strings.NewReader("body")))
			var failure *Error
			g.Expect(errors.As(err, &failure)).To(BeTrue())
			if failure.NotRun {
				g.Expect(target.executions.Load()).To(BeZero())
			}
			body, err := roundTrip(client, newRequest(t.Context(), target, http.MethodGet, "b", nil))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(body).To(Equal("b"))
			g.Expect(target.accepted.Load()).To(Equal(int32(2)))
		})
	}
}

// Guards against the Transport resending a request on a reused connection, which it does for GET,
// for requests with an idempotency key and for requests without a body.
func TestTransportDoesNotResendOnReusedConnection(t *testing.T) {
	faultmatrix.Proves(t, faultmatrix.ConnectionClosed, faultmatrix.RequestReuse)
	for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodDelete, http.MethodPost, http.MethodOptions} {
		t.Run(method, func(t *testing.T) {
			g := NewWithT(t)
			target := startRawTarget(t, func(target *rawTarget, c *rawConn, _ int) {
				id, _ := target.readRequestHeader(c)
				c.write(okResponse(id))
				target.readRequestHeader(c)
			})
			client := NewClient()
			_, err := roundTrip(client, newRequest(t.Context(), target, http.MethodGet, "a", nil))
			g.Expect(err).NotTo(HaveOccurred())
			second := newRequest(t.Context(), target, method, "b", nil)
			second.Header.Set(headerIdempotencyKey, "k")
			_, err = roundTrip(client, second)
			var failure *Error
			g.Expect(errors.As(err, &failure)).To(BeTrue())
			g.Expect(failure.NotRun).To(BeFalse())
			g.Expect(failure.Step).To(Equal(StepReadHeader))
			g.Expect(target.accepted.Load()).To(Equal(int32(1)))
			g.Expect(target.executions.Load()).To(Equal(int32(2)))
		})
	}
}

// Guards against a request being reported as run, or sent twice, when the target closed the
// connection while it was idle.
func TestIdleConnectionClosedByTarget(t *testing.T) {
	faultmatrix.Proves(t, faultmatrix.ConnectionClosed, faultmatrix.RequestReuse)
	g := NewWithT(t)
	target := startRawTarget(t, func(target *rawTarget, c *rawConn, _ int) {
		id, _ := target.readRequestHeader(c)
		c.write(okResponse(id))
	})
	client := NewClient()
	served := int32(0)
	for i := range 50 {
		id := strconv.Itoa(i)
		body, err := roundTrip(client, newRequest(t.Context(), target, http.MethodGet, id, nil))
		if err == nil {
			g.Expect(body).To(Equal(id))
			served++
		}
	}
	g.Expect(target.executions.Load()).To(Equal(served))
}

// Guards against an unsolicited response reaching the next caller: whole or in part, in one segment
// with the expected response or while the connection is idle.
func TestUnsolicitedResponseIsNeverDelivered(t *testing.T) {
	faultmatrix.Proves(t, faultmatrix.ResponseLateOrCrossed, faultmatrix.RequestReadHeaders, faultmatrix.RequestReadBody, faultmatrix.RequestReuse)
	cases := map[string]func(c *rawConn, id string){
		"same segment":   func(c *rawConn, id string) { c.write(okResponse(id) + okResponse("unasked")) },
		"part of header": func(c *rawConn, id string) { c.write(okResponse(id) + okResponse("unasked")[:20]) },
		"part of body": func(c *rawConn, id string) {
			c.write(okResponse(id) + okResponse("unasked")[:len(okResponse("unasked"))-2])
		},
		"while idle": func(c *rawConn, id string) {
			c.write(okResponse(id))
			c.write(okResponse("unasked"))
		},
	}
	for name, respond := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			target := startRawTarget(t, func(target *rawTarget, c *rawConn, _ int) {
				for {
					id, ok := target.readRequestHeader(c)
					if !ok {
						return
					}
					respond(c, id)
					target.stalled <- struct{}{}
				}
			})
			client := NewClient()
			for i := range 300 {
				id := strconv.Itoa(i)
				body, err := roundTrip(client, newRequest(t.Context(), target, http.MethodGet, id, nil))
				if err != nil {
					g.Expect(errors.As(err, new(*Error))).To(BeTrue())
					continue
				}
				g.Expect(body).To(Equal(id))
				<-target.stalled // the unsolicited response is in the receive buffer now
			}
		})
	}
}

// Guards against accepting a response with the id of another request, which is what a late response
// on a connection in use looks like.
func TestResponseOfAnotherRequestIsRejected(t *testing.T) {
	faultmatrix.Proves(t, faultmatrix.ResponseLateOrCrossed, faultmatrix.RequestReadHeaders)
	g := NewWithT(t)
	target := startRawTarget(t, func(target *rawTarget, c *rawConn, _ int) {
		target.readRequestHeader(c)
		c.write("HTTP/1.1 200 OK\r\n" + headerRequestID + ": other\r\nContent-Length: 0\r\n\r\n")
		target.stall()
	})
	_, err := roundTrip(NewClient(), newRequest(t.Context(), target, http.MethodGet, "mine", nil))
	g.Expect(errors.Is(err, ErrResponseMismatch)).To(BeTrue())
}

// Guards against more connections than the target accepts, and against a request over the limit
// being reported as run.
func TestConnectionLimit(t *testing.T) {
	g := NewWithT(t)
	target := startRawTarget(t, func(target *rawTarget, c *rawConn, _ int) {
		target.readRequestHeader(c)
		target.stall()
	})
	client := NewClient()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() {
		_, err := client.Do(newRequest(ctx, target, http.MethodGet, "a", nil), 1)
		done <- err
	}()
	<-target.stalled
	_, err := client.Do(newRequest(t.Context(), target, http.MethodGet, "b", nil), 1)
	g.Expect(errors.Is(err, ErrConnectionLimit)).To(BeTrue())
	var failure *Error
	g.Expect(errors.As(err, &failure)).To(BeTrue())
	g.Expect(failure.NotRun).To(BeTrue())
	g.Expect(client.Connections(target.address())).To(Equal(1))
	cancel()
	<-done
	g.Expect(target.executions.Load()).To(Equal(int32(1)))
}

// Guards against a refused connection being reported as run.
func TestRefusedConnection(t *testing.T) {
	faultmatrix.Proves(t, faultmatrix.ConnectionClosed, faultmatrix.RequestDial)
	g := NewWithT(t)
	target := startRawTarget(t, func(*rawTarget, *rawConn, int) {})
	g.Expect(target.listener.Close()).To(Succeed())
	_, err := roundTrip(NewClient(), newRequest(t.Context(), target, http.MethodGet, "a", nil))
	var failure *Error
	g.Expect(errors.As(err, &failure)).To(BeTrue())
	g.Expect(failure.NotRun && failure.Refused).To(BeTrue())
	g.Expect(failure.Step).To(Equal(StepDial))
}
