// Package loopback hands out loopback addresses for processes that are started again.
package loopback

import (
	"fmt"
	"net"
	"sync/atomic"
)

// addressCount counts the loopback IPs.
var addressCount atomic.Int64

// Listen listens on any port of a loopback IP that nothing else uses: on a shared one, a
// port that was free may be taken by an outgoing connection before a process listens on
// it (again). network tells apart processes that run at the same time.
func Listen(network int) (net.Listener, error) {
	number := addressCount.Add(1)
	return net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", network, number/200, number%200+1))
}
