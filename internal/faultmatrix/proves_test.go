package faultmatrix

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// fakeTest is a test whose result is set and whose cleanup is called explicitly.
type fakeTest struct {
	testing.TB
	failed, skipped bool
	cleanup         func()
}

func (f *fakeTest) Cleanup(do func()) { f.cleanup = do }
func (f *fakeTest) Failed() bool      { return f.failed }
func (f *fakeTest) Skipped() bool     { return f.skipped }
func (f *fakeTest) Name() string      { return "TestOther" }

// Guards against a cell shown as proved by a test that failed, was skipped or has not ended.
func TestOnlyPassedTestsProve(t *testing.T) {
	g := NewWithT(t)
	file := filepath.Join(t.TempDir(), "records")
	t.Setenv(FileVariable, file)
	passed, failed, skipped := &fakeTest{TB: t}, &fakeTest{TB: t, failed: true}, &fakeTest{TB: t, skipped: true}
	for _, test := range []*fakeTest{passed, failed, skipped} {
		Proves(test, PlatformDown, ConfigFetch)
	}
	g.Expect(file).NotTo(BeAnExistingFile())
	for _, test := range []*fakeTest{passed, failed, skipped} {
		test.cleanup()
	}
	text, err := os.ReadFile(file)
	g.Expect(err).NotTo(HaveOccurred())
	records := []Record{}
	for line := range strings.Lines(string(text)) {
		var record Record
		g.Expect(json.Unmarshal([]byte(line), &record)).To(Succeed())
		records = append(records, record)
	}
	const path = "github.com/fireflychute/fireflychute/internal/faultmatrix"
	g.Expect(records).To(Equal([]Record{
		{Package: path, Test: "TestOther", Fault: PlatformDown, Step: ConfigFetch},
		{Package: path, Test: "TestOther", Fault: PlatformDown, Step: ConfigFetch, Failed: true},
	}))
}
