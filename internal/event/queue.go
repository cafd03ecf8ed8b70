package event

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"

	plog "github.com/phuslu/log"
)

// maxQueuedLines is the maximum number of lines that wait to be written, about 1 MB
// of memory.
const maxQueuedLines = 4096

// Queue buffers log lines for a background goroutine to write, so that requests
// never block on a slow writer. When it is full, new lines are dropped and
// counted.
type Queue struct {
	async   plog.AsyncWriter
	dropped atomic.Uint64

	mu     sync.RWMutex // held by writers, and by Close while it stops them: async panics on a line after its Close
	closed bool
}

// NewQueue returns a queue that writes to w. Its goroutine starts with the first
// line.
func NewQueue(w io.Writer) *Queue {
	return &Queue{async: plog.AsyncWriter{
		ChannelSize: maxQueuedLines, DiscardOnFull: true, Writer: plog.IOWriter{Writer: w},
	}}
}

// WriteEntry implements plog.Writer: it enqueues a log line. After Close it drops the line: work that a stop has
// cut off may still log.
func (q *Queue) WriteEntry(e *plog.Entry) (int, error) {
	q.mu.RLock()
	defer q.mu.RUnlock()
	if q.closed {
		q.dropped.Add(1)
		return 0, io.ErrClosedPipe
	}
	n, err := q.async.WriteEntry(e)
	if errors.Is(err, plog.ErrAsyncWriterFull) {
		q.dropped.Add(1)
	}
	return n, err
}

// Dropped returns the number of lines dropped so far.
func (q *Queue) Dropped() uint64 { return q.dropped.Load() }

// Close writes the queued lines and stops the goroutine.
func (q *Queue) Close() error {
	q.mu.Lock()
	q.closed = true
	q.mu.Unlock()
	return q.async.Close()
}

// NewWithQueue returns a log like New that writes through q.
func NewWithQueue(q *Queue, level plog.Level, host string) *Log {
	l := New(io.Discard, level, host)
	l.logger.Writer = q
	return l
}
