package settings

import (
	"fmt"
	"math"
	"net/netip"
	"net/url"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"github.com/fireflychute/fireflychute/pkg/tomlline"
)

// minMemoryLimit is the smallest memory limit in bytes. Below it the Go runtime
// would collect garbage all the time.
const minMemoryLimit = 32 << 20

// bounds are the range of a number; a nil bound is open.
type bounds struct {
	key              string
	minimum, maximum *float64
}

func limit(value float64) *float64 {
	return &value
}

// checker collects the problems of one file.
type checker struct {
	file     string
	settings Settings
	lines    tomlline.Lines
	values   map[string]any
	problems Problems
}

func (c *checker) check() error {
	err := c.buildTree()
	if err != nil {
		return err
	}
	c.checkRequired()
	c.checkRanges()
	c.checkListeners()
	c.checkTLS("operators", c.settings.Operators.Listen, c.settings.Operators.AllowPlainText, c.settings.Operators.TLS)
	c.checkTLS("peers", c.settings.Peers.Listen, c.settings.Peers.AllowPlainText, c.settings.Peers.TLS)
	c.checkLimits("callers", c.settings.Callers.Limits)
	c.checkLimits("operators", c.settings.Operators.Limits)
	c.checkSeeds()
	c.checkRelay()
	c.checkURL("platform.url", c.settings.Platform.URL)
	c.checkURL("tracing.endpoint", c.settings.Tracing.Endpoint)
	c.checkOther()
	return c.problems.asError()
}

// buildTree reads the settings back as a tree, for look-ups by key.
func (c *checker) buildTree() error {
	text, err := toml.Marshal(c.settings)
	if err != nil {
		return Problems{{File: c.file, Reason: err.Error()}}
	}
	return toml.Unmarshal(text, &c.values)
}

func (c *checker) value(key string) any {
	var value any = c.values
	for _, part := range strings.Split(key, ".") {
		table, ok := value.(map[string]any)
		if !ok {
			return nil
		}
		value = table[part]
	}
	return value
}

func (c *checker) addProblem(key, format string, args ...any) {
	line := c.lines.Find(strings.Split(key, ".")...)
	c.problems = append(c.problems, Problem{File: c.file, Line: line, Key: key, Reason: fmt.Sprintf(format, args...)})
}

func (c *checker) checkRequired() {
	for _, key := range required {
		if c.value(key) == "" {
			c.addProblem(key, "must be set")
		}
	}
}

func (c *checker) checkRanges() {
	for _, b := range ranges {
		value := number(c.value(b.key))
		if math.IsNaN(value) || b.minimum != nil && value < *b.minimum {
			c.addProblem(b.key, "must be at least %v, is %v", *b.minimum, c.value(b.key))
		}
		if b.maximum != nil && value > *b.maximum {
			c.addProblem(b.key, "must be at most %v, is %v", *b.maximum, c.value(b.key))
		}
	}
}

func number(value any) float64 {
	switch value := value.(type) {
	case int64:
		return float64(value)
	case float64:
		return value
	default:
		return math.NaN()
	}
}

func (c *checker) checkListeners() {
	listeners := []struct{ key, address string }{
		{"callers.listen", c.settings.Callers.Listen},
		{"operators.listen", c.settings.Operators.Listen},
		{"peers.listen", c.settings.Peers.Listen},
	}
	used := map[netip.AddrPort]string{}
	for _, l := range listeners {
		if l.address == "" {
			continue
		}
		address, err := netip.ParseAddrPort(l.address)
		if err != nil {
			c.addProblem(l.key, "must be an IP address and port, for example 127.0.0.1:8000, is %q", l.address)
			continue
		}
		other, duplicate := used[address]
		if duplicate && address.Port() != 0 {
			c.addProblem(l.key, "has the same address as %s", other)
		}
		used[address] = l.key
	}
	address, err := netip.ParseAddrPort(c.settings.Peers.Listen)
	if err == nil && address.Addr().IsUnspecified() {
		c.addProblem("peers.listen", "must name one address that other nodes can connect to")
	}
}

// checkTLS demands TLS on every address that others than this VM can reach.
func (c *checker) checkTLS(listener, listen string, allowPlainText bool, files TLS) {
	given := 0
	for _, file := range []string{files.Cert, files.Key, files.CA} {
		if file != "" {
			given++
		}
	}
	address, err := netip.ParseAddrPort(listen)
	loopback := err != nil || address.Addr().IsLoopback()
	switch {
	case given != 0 && given != 3:
		c.addProblem(listener+".tls", "cert, key and ca must be given together")
	case given == 3 && allowPlainText:
		c.addProblem(listener+".allowPlainText", "contradicts the certificates in %s.tls", listener)
	case given == 0 && !loopback && !allowPlainText:
		c.addProblem(listener+".listen", "%s is not loopback; give certificates in [%s.tls] or set %s.allowPlainText", listen, listener, listener)
	}
}

func (c *checker) checkLimits(listener string, limits Limits) {
	if limits.BodyTimeMs < limits.HeaderTimeMs {
		c.addProblem(listener+".limits.bodyTimeMs", "covers the header too, so it must be at least headerTimeMs = %d", limits.HeaderTimeMs)
	}
}

func (c *checker) checkSeeds() {
	for _, seed := range c.settings.Peers.Seeds {
		_, err := netip.ParseAddrPort(seed)
		if err != nil {
			c.addProblem("peers.seeds", "must hold IP addresses with port, has %q", seed)
		}
	}
}

func (c *checker) checkURL(key, text string) {
	if text == "" {
		return
	}
	parsed, err := url.Parse(text)
	if err != nil || parsed.Host == "" || parsed.Scheme != "http" && parsed.Scheme != "https" {
		c.addProblem(key, "must be a URL with http or https and a host, is %q", text)
	}
}

func (c *checker) checkOther() {
	memory := c.settings.Node.MemoryLimitBytes
	if memory > 0 && memory < minMemoryLimit {
		c.addProblem("node.memoryLimitBytes", "must be 0 or at least %d, is %d", minMemoryLimit, memory)
	}
	if c.lines.Has("tracing", "sampleRatio") && c.settings.Tracing.Endpoint == "" {
		c.addProblem("tracing.sampleRatio", "has no effect without tracing.endpoint")
	}
	switch c.settings.Log.Level {
	case "debug", "info", "warn", "error":
	default:
		c.addProblem("log.level", "must be debug, info, warn or error, is %q", c.settings.Log.Level)
	}
}
