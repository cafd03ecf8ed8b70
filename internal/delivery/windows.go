package delivery

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"rhubarbwood.example/rhubarbwood/internal/event"
	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/objstore"
)

// Windows is the Recorder of a host. It sums deliveries in memory and writes
// the sums to the platform, one object a window. What the platform does not
// take waits in bounded memory: totals are kept, only moments grow coarser.
type Windows struct {
	cfg     Config
	store   objstore.Store
	view    member.View
	log     *event.Log
	metrics *metrics

	mu     sync.Mutex
	open   *Window
	opened time.Time // monotonic

	// The rest belongs to the goroutine of run.
	clock    platformClock
	queue    queue
	numbered Incarnation // of the window written last
	next     uint64      // number of the next window to be written
	failures int         // in a row
	kept     []writtenWindow
	seen     map[Incarnation]bool
	// early is the part of an interval by which the first window is shorter, so that
	// hosts that start together do not write together.
	early float64

	started bool
	stop    chan struct{}
	stopCtx context.Context // of Stop; set before stop is closed
	done    chan struct{}
}

// New returns the recorder of the host that view calls itself.
func New(cfg Config, store objstore.Store, view member.View, log *event.Log, reg prometheus.Registerer) *Windows {
	return &Windows{
		cfg: cfg, store: store, view: view, log: log, metrics: newMetrics(reg),
		clock: platformClock{store: store},
		seen:  map[Incarnation]bool{},
		stop:  make(chan struct{}),
		done:  make(chan struct{}),
	}
}

// Start opens the first window and begins to write.
func (w *Windows) Start(context.Context) error {
	w.mu.Lock()
	w.begin(time.Now())
	w.mu.Unlock()
	w.started = true
	go w.run()
	return nil
}

// Stop writes the last windows and returns when they are in the platform, or
// when StopTimeout has passed or ctx is done: then an event says what was
// lost, and reports will tell that this host's last windows are missing. A
// platform outage must not keep a host from stopping, so that is no error.
// Modules that record must have stopped before.
func (w *Windows) Stop(ctx context.Context) error {
	if !w.started {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, w.cfg.StopTimeout.Std())
	defer cancel()
	w.stopCtx = ctx
	close(w.stop)
	<-w.done
	return nil
}

// Record adds a delivery to the open window. It never waits for the platform.
func (w *Windows) Record(d Delivery) {
	w.metrics.answers.WithLabelValues(d.Outcome.String()).Inc()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.open == nil {
		w.begin(time.Now())
	}
	w.open.Rows.record(d, w.cfg.MaxKeys)
	w.open.Records.record(d, w.cfg)
}

// begin opens a window; mu is held. The membership may raise the incarnation
// while the host runs.
func (w *Windows) begin(now time.Time) {
	self := w.view.Self()
	w.open, w.opened = newWindow(Incarnation{Host: self.ID, Number: self.Incarnation}), now
}

// run closes a window each interval and writes what is pending, until Stop.
func (w *Windows) run() {
	defer close(w.done)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if w.cfg.AnnounceStart {
		w.close(false)
	} else {
		w.early = rand.Float64()
	}
	for {
		w.flush(ctx, 1)
		if w.sleep() {
			break
		}
	}
	w.finish()
}

// sleep waits for the end of the window and closes it. While windows are
// pending it returns earlier, for another try. It reports whether to stop.
func (w *Windows) sleep() (stopped bool) {
	interval := w.cfg.interval(len(w.view.Hosts()))
	w.mu.Lock()
	rest := interval - time.Since(w.opened) - time.Duration(w.early*float64(interval))
	w.mu.Unlock()
	wait := max(rest, 0)
	switch {
	case w.queue.head() == nil:
	case w.failures > 0:
		wait = min(wait, retryWait(w.failures))
	default:
		wait = min(wait, interval/catchUp)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-w.stop:
		return true
	case <-timer.C:
	}
	if wait == max(rest, 0) {
		w.early = 0
		w.close(false)
	}
	return false
}

const (
	firstRetryWait = time.Second
	lastRetryWait  = 16 * time.Second
	maxDoublings   = 4

	// catchUp is how many windows a host writes in the time of one after an
	// outage, so that a fleet does not write all that is pending at once.
	catchUp = 8
)

// retryWait returns the time from a try that failed to the next, as the try
// after each failure encodes the window anew.
func retryWait(failures int) time.Duration {
	return min(firstRetryWait<<min(max(failures-1, 0), maxDoublings), lastRetryWait)
}

// finish closes the final window and writes until all is written or the
// context of Stop is done.
func (w *Windows) finish() {
	w.close(true)
	for {
		w.flush(w.stopCtx, len(w.queue.items))
		if w.queue.head() == nil {
			return
		}
		select {
		case <-w.stopCtx.Done():
			w.logLost()
			return
		case <-time.After(firstRetryWait):
		}
	}
}

// logLost logs how many windows and answers are lost with this host.
func (w *Windows) logLost() {
	var answers uint64
	for _, p := range w.queue.items {
		answers += p.window.Rows.count()
	}
	w.log.Event(evFinalLost).Int("pending", len(w.queue.items)).Uint64("answers", answers).Err(w.stopCtx.Err()).Msg("")
}

// close ends the open window, opens the next one and queues the closed one.
func (w *Windows) close(final bool) {
	now := time.Now()
	w.mu.Lock()
	closed := &pending{window: w.open, opened: w.opened, closed: now}
	w.begin(now)
	raised := w.open.Incarnation != closed.window.Incarnation
	w.mu.Unlock()
	closed.window.Final = final || raised
	closed.window.Seen = w.firstSeen()
	w.metrics.folded.Add(float64(closed.window.Rows.folded))
	w.metrics.leftOut.Add(float64(closed.window.Records.leftOut()))
	before := w.queue.merged
	w.queue.push(closed, w.cfg)
	w.metrics.merged.Add(float64(w.queue.merged - before))
	w.metrics.pending.Set(float64(len(w.queue.items)))
}

// firstSeen returns the other hosts that were not in the membership at the
// close of the window before. It makes a host known to reports even if it
// dies before it could write.
func (w *Windows) firstSeen() []Incarnation {
	var first []Incarnation
	current := map[Incarnation]bool{}
	for _, h := range w.view.Hosts() {
		i := Incarnation{Host: h.ID, Number: h.Incarnation}
		if i.Host == w.view.Self().ID || i.Number == 0 || !h.Usable() {
			continue
		}
		current[i] = true
		if !w.seen[i] {
			first = append(first, i)
		}
	}
	w.seen = current
	return first
}
