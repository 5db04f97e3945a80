package settings

import "net/netip"

// checkRelay checks the listen address for calls that other nodes relay. These calls are plain
// text, so a node whose peer connections use TLS must not accept them.
func (c *checker) checkRelay() {
	const key = "peers.relay"
	relay := c.settings.Peers.Relay
	if relay == "" {
		return
	}
	address, err := netip.ParseAddrPort(relay)
	if err != nil {
		c.addProblem(key, "must be an IP address and port, is %q", relay)
		return
	}
	if c.settings.Peers.TLS.Cert != "" {
		c.addProblem(key, "cannot be used together with peers.tls")
	}
	if !address.Addr().IsLoopback() && !c.settings.Peers.AllowPlainText {
		c.addProblem(key, "is plain text and not on loopback; set peers.allowPlainText if the network is trusted")
	}
	for _, other := range []string{c.settings.Callers.Listen, c.settings.Operators.Listen, c.settings.Peers.Listen} {
		if other == relay {
			c.addProblem(key, "is also the address of another listener")
		}
	}
}
