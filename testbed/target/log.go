package target

import (
	"bufio"
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"
)

// ExecutionLog writes one line of JSON per execution. The line is written before the
// execution proceeds, so that the log of a killed target is complete.
type ExecutionLog struct {
	Out io.Writer
}

// Execution is the start of one request at a target.
type Execution struct {
	ID   string    `json:"id"`
	Path string    `json:"path"`
	At   time.Time `json:"at"`
}

func (l ExecutionLog) write(id, path string, at time.Time) {
	if l.Out == nil {
		return
	}
	line, err := json.Marshal(Execution{ID: id, Path: path, At: at})
	if err != nil {
		return
	}
	_, _ = l.Out.Write(append(line, '\n'))
}

// ReadExecutions reads an execution log. It ignores a truncated last line.
func ReadExecutions(in io.Reader) ([]Execution, error) {
	executions := []Execution{}
	lines := bufio.NewReader(in)
	for {
		line, err := lines.ReadBytes('\n')
		if err == io.EOF {
			return executions, nil
		}
		if err != nil {
			return executions, errors.Wrap(err, "read execution log")
		}
		var execution Execution
		err = json.Unmarshal(line, &execution)
		if err != nil {
			return executions, errors.Wrap(err, "decode a line of the execution log")
		}
		executions = append(executions, execution)
	}
}
