package target

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"os"
)

// refusalSuffix is added to the execution log's name for the file of the
// attempts that were settled as never run.
const refusalSuffix = ".refused"

// journal is the two files in which a target keeps what it knows of attempts,
// so that it outlives the process. A nil journal keeps nothing.
//
// A file that cannot be written would make every count of runs untrue, so the
// target does not go on.
type journal struct {
	executions *os.File
	refusals   *os.File
}

type refusal struct {
	AttemptID string `json:"attempt_id"`
}

// open reads what an earlier process wrote, and writes to the same files from
// now on. An empty path keeps everything in memory.
func (r *reservations) open(path string) error {
	if path == "" {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	executions, err := openLines(path, r.restoreExecutionLocked)
	if err != nil {
		return err
	}
	refusals, err := openLines(path+refusalSuffix, r.restoreRefusalLocked)
	if err != nil {
		return errors.Join(err, executions.Close())
	}
	r.journal = &journal{executions, refusals}
	return nil
}

func (r *reservations) close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.journal
	r.journal = nil
	if j == nil {
		return nil
	}
	return Error.Wrap(errors.Join(j.executions.Close(), j.refusals.Close()))
}

func (r *reservations) restoreExecutionLocked(e Execution) {
	if e.Granted {
		r.takeLocked(e.Item)
	}
	r.executions = append(r.executions, e)
	r.attempts[e.AttemptID] = &attempt{answer: e.answer()}
}

func (r *reservations) restoreRefusalLocked(old refusal) {
	r.attempts[old.AttemptID] = &attempt{refused: true}
}

func (j *journal) ran(e Execution) {
	if j != nil {
		appendLine(j.executions, e)
	}
}

func (j *journal) refused(attemptID string) {
	if j != nil {
		appendLine(j.refusals, refusal{attemptID})
	}
}

// openLines opens a file of JSON lines for appending and hands over the lines
// that are there.
func openLines[T any](path string, line func(T)) (*os.File, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR|os.O_APPEND, 0o644)
	if err != nil {
		return nil, Error.New("open execution log: %w", err)
	}
	d := json.NewDecoder(bufio.NewReader(f))
	for {
		var v T
		err := d.Decode(&v)
		if errors.Is(err, io.EOF) {
			return f, nil
		}
		if err != nil {
			return nil, errors.Join(Error.New("read %s: %w", path, err), f.Close())
		}
		line(v)
	}
}

func appendLine(f *os.File, v any) {
	line, err := json.Marshal(v)
	if err == nil {
		_, err = f.Write(append(line, '\n'))
	}
	if err != nil {
		panic(Error.New("write execution log: %w", err))
	}
}
