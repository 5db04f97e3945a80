package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
)

// Guards against a log level of the settings that has no effect.
func TestLogLevel(t *testing.T) {
	g := NewWithT(t)
	for _, level := range []string{"debug", "info", "warn", "error"} {
		var text bytes.Buffer
		log, err := withLevel(zerolog.New(&text), level)
		g.Expect(err).NotTo(HaveOccurred())
		log.Debug().Msg("debug")
		log.Info().Msg("info")
		log.Warn().Msg("warn")
		log.Error().Msg("error")
		g.Expect(text.String()).To(HavePrefix(`{"level":"` + level + `"`))
	}
}

// Guards against exit codes that supervisors and pipelines cannot rely on.
func TestExitCodes(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "node.toml")
	g.Expect(os.WriteFile(path, []byte("[node]\nname = 1\n"), 0o600)).To(Succeed())
	g.Expect(run([]string{"--version"})).To(Equal(exitSuccess))
	g.Expect(run([]string{"--help"})).To(Equal(exitSuccess))
	g.Expect(run([]string{})).To(Equal(exitUsage))
	g.Expect(run([]string{"--unknown"})).To(Equal(exitUsage))
	g.Expect(run([]string{"--settings", path})).To(Equal(exitUsage))
	g.Expect(run([]string{"check", "--settings", path})).To(Equal(exitUsage))
	g.Expect(run([]string{"chek", "--settings", path})).To(Equal(exitUsage))
}
