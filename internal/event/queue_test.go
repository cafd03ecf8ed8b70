package event

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	plog "github.com/phuslu/log"
)

// stuckWriter blocks each write until release is closed.
type stuckWriter struct {
	release chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (w *stuckWriter) Write(b []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.Write(b)
}

func TestAStuckWriterBlocksNobody(t *testing.T) {
	is := is.New(t)
	w := &stuckWriter{release: make(chan struct{})}
	q := NewQueue(w)
	l := NewWithQueue(q, plog.InfoLevel, "h")
	e := Event{Number: 1, Name: "x", Level: plog.InfoLevel}
	const lines = maxQueuedLines + 100
	for range lines {
		l.Event(e).Msg("") // must not block although the writer does
	}
	// Of the 100 lines past the queue length, one may be in the writer and one on
	// its way there.
	is.True(q.Dropped() >= 98)
	close(w.release)
	is.NoErr(q.Close())
	is.Equal(uint64(strings.Count(w.buf.String(), "\n")), lines-q.Dropped())
	is.True(strings.Contains(w.buf.String(), `"host":"h"`))
}

// Work that a stop has cut off logged after the queue was closed: the process panicked in place of ending with its status.
func TestLinesAfterCloseAreDropped(t *testing.T) {
	is := is.New(t)
	q := NewQueue(io.Discard)
	log := NewWithQueue(q, plog.InfoLevel, "h")
	e := Event{Number: 1, Name: "x", Level: plog.InfoLevel}
	var writers sync.WaitGroup
	var stop atomic.Bool
	for range 4 {
		writers.Go(func() {
			for !stop.Load() {
				log.Event(e).Msg("")
			}
		})
	}
	time.Sleep(time.Millisecond)
	is.NoErr(q.Close())
	before := q.Dropped()
	log.Event(e).Msg("")
	is.True(q.Dropped() > before)
	stop.Store(true)
	writers.Wait()
}
