package target

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"os"
)

// refusalSuffix is appended to the path of the execution log; that file lists the attempts that
// were settled as never run.
const refusalSuffix = ".refused"

// journal persists executions and refused attempts in two files, so that they survive a restart of
// the process. A nil journal persists nothing.
// The target panics if a write fails, because a missing record would falsify the number of
// executions.
type journal struct {
	executions *os.File
	refusals   *os.File
}

type refusal struct {
	AttemptID string `json:"attempt_id"`
}

// open restores the state from the files of an earlier process and appends to them from then on.
// An empty path keeps everything in memory.
func (r *reservations) open(path string) error {
	if path == "" {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	executions, err := openJSONLines(path, r.restoreExecutionLocked)
	if err != nil {
		return err
	}
	refusals, err := openJSONLines(path+refusalSuffix, r.restoreRefusalLocked)
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
		r.takeStockLocked(e.Item)
	}
	r.executions = append(r.executions, e)
	r.attempts[e.AttemptID] = &attempt{answer: e.answer()}
}

func (r *reservations) restoreRefusalLocked(old refusal) {
	r.attempts[old.AttemptID] = &attempt{refused: true}
}

func (j *journal) appendExecution(e Execution) {
	if j != nil {
		appendJSONLine(j.executions, e)
	}
}

func (j *journal) appendRefusal(attemptID string) {
	if j != nil {
		appendJSONLine(j.refusals, refusal{attemptID})
	}
}

// openJSONLines opens a file of JSON lines for appending and calls line for each existing line.
func openJSONLines[T any](path string, line func(T)) (*os.File, error) {
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

func appendJSONLine(f *os.File, v any) {
	line, err := json.Marshal(v)
	if err == nil {
		_, err = f.Write(append(line, '\n'))
	}
	if err != nil {
		panic(Error.New("write execution log: %w", err))
	}
}
