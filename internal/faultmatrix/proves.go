// Package faultmatrix lets a test state which faults, at which steps of a
// mechanism, it proves to be handled. The page docs/FAULTS.md is rendered from the
// records of a run.
package faultmatrix

import (
	"encoding/json"
	"os"
	"runtime"
	"strings"
)

// FileVariable names the environment variable with the file that records are
// appended to. Without it nothing is recorded.
const FileVariable = "FAULT_MATRIX_FILE"

// Record is one line of the file: the verdict of one test on one cell.
type Record struct {
	Package string `json:"package"`
	Test    string `json:"test"`
	Fault   Fault  `json:"fault"`
	Step    Step   `json:"step"`
	Failed  bool   `json:"failed,omitempty"`
}

// TB is the part of testing.TB that is needed here.
type TB interface {
	Helper()
	Cleanup(func())
	Failed() bool
	Skipped() bool
	Name() string
	Errorf(format string, args ...any)
}

// Proves records, at the end of the test, that the test shows the fault to be
// handled at the steps, or that it failed to show it. A skipped test records nothing.
func Proves(t TB, fault Fault, steps ...Step) {
	t.Helper()
	path := os.Getenv(FileVariable)
	if path == "" {
		return
	}
	packagePath := callerPackage()
	t.Cleanup(func() {
		if t.Skipped() {
			return
		}
		for _, step := range steps {
			err := appendRecord(path, Record{Package: packagePath, Test: t.Name(), Fault: fault, Step: step, Failed: t.Failed()})
			if err != nil {
				t.Errorf("record cell of the fault matrix: %v", err)
			}
		}
	})
}

// appendRecord appends one line. Test processes that run at the same time share the
// file, and one small append is not mixed with another.
func appendRecord(path string, record Record) error {
	line, err := json.Marshal(record)
	if err != nil {
		return err
	}
	f, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	_, err = f.Write(append(line, '\n'))
	closeErr := f.Close()
	if err != nil {
		return err
	}
	return closeErr
}

// callerPackage returns the import path of the package whose test called Proves.
func callerPackage() string {
	const skip = 2 // this function and Proves
	pc, _, _, ok := runtime.Caller(skip)
	if !ok {
		return ""
	}
	name := runtime.FuncForPC(pc).Name()
	slash := strings.LastIndex(name, "/")
	dot := strings.Index(name[slash+1:], ".")
	return strings.TrimSuffix(name[:slash+1+dot], "_test")
}
