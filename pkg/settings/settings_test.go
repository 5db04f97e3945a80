package settings

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

const base = `[node]
name = "node-1"
dataCentre = "north"
[callers]
listen = "127.0.0.1:8000"
[operators]
listen = "127.0.0.1:8100"
[peers]
listen = "127.0.0.1:8200"
[platform]
url = "http://127.0.0.1:7000"
`

// Guards against wrong settings that start a node, or that are refused without
// saying where.
func TestInvalidSettings(t *testing.T) {
	cases := []struct{ name, old, new, want string }{
		{"unknown key", "[platform]", "[platform]\nuri = \"x\"", "node.toml:11: platform.uri: unknown key"},
		{"wrong type", `"node-1"`, `1`, "node.toml:2: "},
		{"syntax", `"node-1"`, `"node-1`, "node.toml:2: "},
		{"missing", `name = "node-1"`, ``, "node.toml:1: node.name: must be set"},
		{"port", "127.0.0.1:8000", "127.0.0.1", "node.toml:5: callers.listen: must be an IP address and port"},
		{"same address", "127.0.0.1:8200", "127.0.0.1:8000", "node.toml:9: peers.listen: has the same address as callers.listen"},
		{"unspecified", "127.0.0.1:8200", "0.0.0.0:8200", "peers.listen: must name one address"},
		{"plain text", "127.0.0.1:8100", "10.0.0.1:8100", "node.toml:7: operators.listen: 10.0.0.1:8100 is not loopback"},
		{"some certificates", "[peers]", "[operators.tls]\ncert = \"c\"\n[peers]", "node.toml:8: operators.tls: cert, key and ca"},
		{"both", "[operators]", "[operators]\nallowPlainText = true\ntls = {cert = \"c\", key = \"k\", ca = \"a\"}", "operators.allowPlainText: contradicts"},
		{"zero", "[operators]", "[callers.limits]\nidleTimeMs = 0\n[operators]", "node.toml:7: callers.limits.idleTimeMs: must be at least 1, is 0"},
		{"too much", "[callers]", "drainTimeMs = 3600001\n[callers]", "node.drainTimeMs: must be at most 3.6e+06"},
		{"times", "[operators]", "[callers.limits]\nheaderTimeMs = 90000\n[operators]", "callers.limits.bodyTimeMs: covers the header"},
		{"seed", "[platform]", "seeds = [\"node-2\"]\n[platform]", "node.toml:10: peers.seeds: must hold IP addresses"},
		{"url", "http://127", "127", "platform.url: must be a URL"},
		{"memory", "[callers]", "memoryLimitBytes = 1000\n[callers]", "node.memoryLimitBytes: must be 0 or at least"},
		{"ratio", "[platform]", "[tracing]\nsampleRatio = 0.5\n[platform]", "tracing.sampleRatio: has no effect without"},
		{"level", "[platform]", "[log]\nlevel = \"all\"\n[platform]", "log.level: must be debug, info, warn or error"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(base).To(ContainSubstring(c.old))
			_, err := Parse("node.toml", []byte(strings.Replace(base, c.old, c.new, 1)))
			g.Expect(err).To(MatchError(ContainSubstring(c.want)))
			g.Expect(err).To(BeAssignableToTypeOf(Problems{}))
		})
	}
}

// Guards against a refusal that hides further problems.
func TestReportsAllProblems(t *testing.T) {
	g := NewWithT(t)
	_, err := Parse("node.toml", nil)
	g.Expect(err).To(HaveLen(len(required)))
}

// Guards against a default that is lost, or that replaces a given value.
func TestDefaults(t *testing.T) {
	g := NewWithT(t)
	settings, err := Parse("node.toml", []byte(strings.Replace(base, "[operators]", "[callers.limits]\nidleTimeMs = 7\n[operators]", 1)))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(settings.Node.DrainTimeMs).To(Equal(30000))
	g.Expect(settings.Callers.Limits.IdleTimeMs).To(Equal(7))
	g.Expect(settings.Callers.Limits.HeaderTimeMs).To(Equal(5000))
	g.Expect(settings.Peers.Limits.MaxConnections).To(Equal(1024))
	g.Expect(settings.Tracing.SampleRatio).To(Equal(0.01))
	g.Expect(settings.Validate()).To(Succeed())
}
