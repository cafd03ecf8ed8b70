package event

import (
	"errors"
	"io"
	"sync/atomic"

	plog "github.com/phuslu/log"
)

// queueLength is how many lines may wait for a slow writer; about 1 MB.
const queueLength = 4096

// Queue holds log lines until they are written, so that no request waits for
// them. Lines that find it full are dropped and counted.
type Queue struct {
	async   plog.AsyncWriter
	dropped atomic.Uint64
}

// NewQueue returns a queue before a writer. It starts a goroutine at the first
// line.
func NewQueue(w io.Writer) *Queue {
	return &Queue{async: plog.AsyncWriter{
		ChannelSize: queueLength, DiscardOnFull: true, Writer: plog.IOWriter{Writer: w},
	}}
}

// WriteEntry implements the log library's Writer.
func (q *Queue) WriteEntry(e *plog.Entry) (int, error) {
	n, err := q.async.WriteEntry(e)
	if errors.Is(err, plog.ErrAsyncWriterFull) {
		q.dropped.Add(1)
	}
	return n, err
}

// Dropped returns the lines dropped so far.
func (q *Queue) Dropped() uint64 { return q.dropped.Load() }

// Close writes the lines that wait and ends the goroutine.
func (q *Queue) Close() error { return q.async.Close() }

// NewQueued is New with a queue before the writer.
func NewQueued(q *Queue, level plog.Level, host string) *Log {
	l := New(io.Discard, level, host)
	l.logger.Writer = q
	return l
}
