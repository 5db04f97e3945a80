package declare

import (
	"io/fs"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/fireflychute/fireflychute/pkg/api"
)

// Guards against examples that a node would reject. Each directory of examples is one set.
func TestExamples(t *testing.T) {
	g := NewWithT(t)
	directories, err := filepath.Glob("../../examples/*")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(directories).To(HaveLen(2))
	for _, directory := range directories {
		objects := []api.Object{}
		err := filepath.WalkDir(directory, func(name string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() {
				return err
			}
			text, err := os.ReadFile(name)
			g.Expect(err).NotTo(HaveOccurred())
			file, err := DecodeFile(name, text)
			g.Expect(err).NotTo(HaveOccurred())
			objects = append(objects, file.Objects...)
			return nil
		})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(Validate(objects, Context{Now: now})).To(Succeed(), directory)
		counts := map[string]int{}
		for _, object := range objects {
			counts[object.Kind]++
		}
		g.Expect(counts).To(HaveKeyWithValue(api.KindDataCentre, 3))
		g.Expect(counts).To(HaveKeyWithValue(api.KindService, 3))
		g.Expect(counts).To(HaveKeyWithValue(api.KindRollout, 1))
	}
}
