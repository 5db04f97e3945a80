package faultmatrix

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	matrix "github.com/fireflychute/fireflychute/internal/faultmatrix"
)

// Guards against a page that shows a cell as proved without a passed test, or that hides
// a failed test behind a passed one.
func TestCellStatesFollowRecords(t *testing.T) {
	g := NewWithT(t)
	page, err := Read(strings.NewReader(`
{"package":"p","test":"TestA/one","fault":"platform down","step":"configuration: fetch"}
{"package":"p","test":"TestA/two","fault":"platform down","step":"configuration: fetch"}
{"package":"p","test":"TestA","fault":"platform slow","step":"configuration: fetch"}
{"package":"p","test":"TestB","fault":"platform slow","step":"configuration: fetch","failed":true}
{"package":"p","test":"TestC","fault":"platform slow","step":"configuration: fetch"}
`))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(page.cells[cellKey{matrix.PlatformDown, matrix.ConfigFetch}]).To(Equal(cell{state: Proved, tests: []string{"`p` TestA"}}))
	g.Expect(page.cells[cellKey{matrix.PlatformSlow, matrix.ConfigFetch}]).To(Equal(cell{state: KnownFailing, tests: []string{"`p` TestB"}}))
	g.Expect(page.cells[cellKey{matrix.PlatformDown, matrix.ConfigAccept}]).To(Equal(cell{}))
	counts := page.Counts()
	g.Expect(counts[Proved]).To(Equal(1))
	g.Expect(counts[KnownFailing]).To(Equal(1))
	text := &strings.Builder{}
	g.Expect(page.Write(text)).To(Succeed())
	g.Expect(text.String()).To(ContainSubstring("| platform down | - | - | - | 1 |"))
	g.Expect(text.String()).To(ContainSubstring("| platform slow | - | - | - | red 2 |"))
}

// Guards against a record of a cell that the page lists as impossible, and against
// silently dropped records of misspelt cells.
func TestInvalidRecordsAreRejected(t *testing.T) {
	g := NewWithT(t)
	for _, line := range []string{
		`{"test":"TestA","fault":"target slow","step":"lease: act"}`,
		`{"test":"TestA","fault":"platform dwn","step":"lease: act"}`,
		`{"test":`,
	} {
		_, err := Read(strings.NewReader(line))
		g.Expect(err).To(HaveOccurred(), line)
	}
}

// Guards against two faults or steps of the same name that share a cell.
func TestFaultAndStepNamesAreUnique(t *testing.T) {
	page, err := Read(strings.NewReader(""))
	g := NewWithT(t)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(page.cells).To(HaveLen(len(matrix.Faults()) * len(matrix.Steps())))
}
