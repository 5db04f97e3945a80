package transport

import "sync/atomic"

// States of an attempt.
const (
	stateOpen    int32 = iota // no byte was passed to the kernel
	stateWriting              // a write is in progress
	stateWritten              // a byte was passed to the kernel
	stateSealed               // no byte was passed, and none will be
)

// attempt is one attempt to send a request. It can be sealed, after which no byte is sent.
type attempt struct {
	state atomic.Int32
	conn  atomic.Pointer[conn]
	// requestWritten is set once the whole request was written.
	requestWritten atomic.Bool
}

// startWrite claims the right to pass bytes to the kernel. It returns false if the attempt is
// sealed.
func (a *attempt) startWrite() bool {
	return a.state.CompareAndSwap(stateOpen, stateWriting) || a.state.Load() == stateWritten
}

// endWrite records the result of the first write. The attempt stays open if the kernel accepted no
// byte.
func (a *attempt) endWrite(n int) {
	if n > 0 {
		a.state.CompareAndSwap(stateWriting, stateWritten)
		return
	}
	a.state.CompareAndSwap(stateWriting, stateOpen)
}

// seal prevents all further writes. It returns false once a byte may have been sent.
func (a *attempt) seal() bool {
	if !a.state.CompareAndSwap(stateOpen, stateSealed) {
		return a.state.Load() == stateSealed
	}
	a.closeConn()
	return true
}

// closeConn closes the connection unless it has been assigned to another attempt since.
func (a *attempt) closeConn() {
	bound := a.conn.Load()
	if bound != nil {
		bound.closeIfBound(a)
	}
}

// bindConn binds the attempt to the connection that the Transport chose.
func (a *attempt) bindConn(c *conn) {
	a.conn.Store(c)
	c.assign(a)
}
