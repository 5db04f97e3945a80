// Package loopback allocates loopback addresses for processes that are restarted on the same
// address.
package loopback

import (
	"fmt"
	"net"
	"sync/atomic"
)

// addressCount is the number of loopback IPs allocated so far.
var addressCount atomic.Int64

// Listen listens on any free port of a loopback IP that nothing else uses. On a shared IP, an
// outgoing connection could claim a free port before a process listens on it (again). Test
// processes that run at the same time must use different values of network, the second byte of the
// IP.
func Listen(network int) (net.Listener, error) {
	number := addressCount.Add(1)
	return net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", network, number/200, number%200+1))
}
