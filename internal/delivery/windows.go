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

// Windows is the Recorder of a host. It aggregates deliveries in memory and
// writes one object per window to the platform. Windows that cannot be written
// wait in bounded memory: totals are kept, and only the time resolution becomes
// coarser.
type Windows struct {
	cfg     Config
	store   objstore.Store
	view    member.View
	log     *event.Log
	metrics *metrics

	mu     sync.Mutex
	open   *Window
	opened time.Time // monotonic

	// The fields below are only used by the goroutine of run.
	clock               platformClock
	queue               queue
	numberedIncarnation Incarnation // incarnation to which nextNumber applies
	nextNumber          uint64      // number of the next window to be written
	consecutiveFailures int
	recentWrites        []writtenWindow
	seen                map[Incarnation]bool // other hosts in the membership when the previous window was closed
	// startJitter is the fraction of an interval by which the first window is
	// shorter, so that hosts that start together do not write at the same time.
	startJitter float64

	started bool
	stop    chan struct{}
	stopCtx context.Context // the context of Stop; set before stop is closed
	done    chan struct{}
}

// New returns the recorder of the host that view.Self returns.
func New(cfg Config, store objstore.Store, view member.View, log *event.Log, reg prometheus.Registerer) *Windows {
	return &Windows{
		cfg: cfg, store: store, view: view, log: log, metrics: newMetrics(reg),
		clock: platformClock{store: store},
		seen:  map[Incarnation]bool{},
		stop:  make(chan struct{}),
		done:  make(chan struct{}),
	}
}

// Start opens the first window and starts to write windows.
func (w *Windows) Start(context.Context) error {
	w.mu.Lock()
	w.openWindow(time.Now())
	w.mu.Unlock()
	w.started = true
	go w.run()
	return nil
}

// Stop writes the last windows. It returns when they are stored in the
// platform, when StopTimeout has passed or when ctx is done. Windows that are
// not stored by then are lost: an event logs their number, and reports list
// this host's last windows as missing. This is not an error, because a platform
// outage must not keep a host from stopping. Modules that record deliveries
// must have stopped before.
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
		w.openWindow(time.Now())
	}
	w.open.Rows.record(d, w.cfg.MaxKeys)
	w.open.Records.record(d, w.cfg)
}

// openWindow opens a window. The caller holds mu. The window gets the host's
// current incarnation, which the membership may raise while the host is
// running.
func (w *Windows) openWindow(now time.Time) {
	self := w.view.Self()
	w.open, w.opened = newWindow(Incarnation{Host: self.ID, Number: self.Incarnation}), now
}

// run closes a window per interval and writes pending windows, until Stop.
func (w *Windows) run() {
	defer close(w.done)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if w.cfg.AnnounceStart {
		w.closeWindow(false)
	} else {
		w.startJitter = rand.Float64()
	}
	for {
		w.flush(ctx, 1)
		if w.waitForWindow() {
			break
		}
	}
	w.writeFinal()
}

// waitForWindow waits for the end of the window and closes it. While windows
// are pending it returns earlier, so that the caller retries their writes. It
// reports whether the recorder is to stop.
func (w *Windows) waitForWindow() (stopped bool) {
	interval := w.cfg.interval(len(w.view.Hosts()))
	w.mu.Lock()
	remaining := interval - time.Since(w.opened) - time.Duration(w.startJitter*float64(interval))
	w.mu.Unlock()
	wait := max(remaining, 0)
	switch {
	case w.queue.head() == nil:
	case w.consecutiveFailures > 0:
		wait = min(wait, retryWait(w.consecutiveFailures))
	default:
		wait = min(wait, interval/catchUpWritesPerInterval)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-w.stop:
		return true
	case <-timer.C:
	}
	if wait == max(remaining, 0) {
		w.startJitter = 0
		w.closeWindow(false)
	}
	return false
}

const (
	minRetryWait = time.Second
	maxRetryWait = 16 * time.Second
	maxDoublings = 4

	// catchUpWritesPerInterval is how many pending windows a host writes per
	// interval after an outage, so that the hosts of a fleet do not write all
	// their pending windows at once.
	catchUpWritesPerInterval = 8
)

// retryWait returns the delay after a failed write. It grows with the number of
// consecutive failures, because each retry encodes the window again.
func retryWait(failures int) time.Duration {
	return min(minRetryWait<<min(max(failures-1, 0), maxDoublings), maxRetryWait)
}

// writeFinal closes the final window and writes until all windows are written
// or the context of Stop is done.
func (w *Windows) writeFinal() {
	w.closeWindow(true)
	for {
		w.flush(w.stopCtx, len(w.queue.items))
		if w.queue.head() == nil {
			return
		}
		select {
		case <-w.stopCtx.Done():
			w.logLost()
			return
		case <-time.After(minRetryWait):
		}
	}
}

// logLost logs how many windows and answers are lost when the host stops.
func (w *Windows) logLost() {
	var answers uint64
	for _, p := range w.queue.items {
		answers += p.window.Rows.count()
	}
	w.log.Event(evFinalLost).Int("pending", len(w.queue.items)).Uint64("answers", answers).Err(w.stopCtx.Err()).Msg("")
}

// closeWindow closes the open window, opens the next one and queues the closed
// one.
func (w *Windows) closeWindow(final bool) {
	now := time.Now()
	w.mu.Lock()
	closed := &pending{window: w.open, opened: w.opened, closed: now}
	w.openWindow(now)
	incarnationChanged := w.open.Incarnation != closed.window.Incarnation
	w.mu.Unlock()
	closed.window.Final = final || incarnationChanged
	closed.window.Seen = w.newlySeen()
	w.metrics.folded.Add(float64(closed.window.Rows.folded))
	w.metrics.leftOut.Add(float64(closed.window.Records.leftOut()))
	before := w.queue.merged
	w.queue.push(closed, w.cfg)
	w.metrics.merged.Add(float64(w.queue.merged - before))
	w.metrics.pending.Set(float64(len(w.queue.items)))
}

// newlySeen returns the other hosts that were not in the membership when the
// previous window was closed. Through it reports include a host that fails
// before its first write.
func (w *Windows) newlySeen() []Incarnation {
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
