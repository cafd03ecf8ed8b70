package gateway

import (
	"sync"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/kernel"
	"rhubarbwood.example/rhubarbwood/internal/policy"
)

// hostStop is the stop of the host as its gateway carries it out: from its beginning requests that it may not
// complete are refused, and at its end those in flight are answered without a result.
type hostStop struct {
	mu    sync.Mutex
	times *policy.HostStop // nil: the host is not stopping
	timer *time.Timer      // ends the requests in flight; nil: the host is not stopping
}

// BeginStop tells the gateway that the host stops. Requests that may not have ended at ends are refused from now on,
// those of callers and those of other hosts. At ends every request in flight is answered: as not run if it is certain
// that it did not and will not run, otherwise as possibly run.
func (g *Gateway) BeginStop(ends time.Time) {
	now := time.Now()
	g.hostStop.mu.Lock()
	defer g.hostStop.mu.Unlock()
	g.hostStop.times = &policy.HostStop{Began: now, Ends: ends}
	g.hostStop.timer = time.AfterFunc(ends.Sub(now), g.endPending)
}

// admitsAtStop reports whether the host is not stopping, or the request is expected to end before the host does.
func (g *Gateway) admitsAtStop(r *request) bool {
	g.hostStop.mu.Lock()
	stop := g.hostStop.times
	g.hostStop.mu.Unlock()
	if stop == nil {
		return true
	}
	now := time.Now()
	return stop.Admits(now, r.deadline.Sub(now), r.stats.slowThreshold())
}

// endPending answers every request in flight.
func (g *Gateway) endPending() {
	if n := g.pending.endAll(); n > 0 {
		g.log.Event(evEndedAtStop).Int("requests", n).Msg("")
	}
}

// stopTimer stops the timer that BeginStop started.
func (s *hostStop) stopTimer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer != nil {
		s.timer.Stop()
	}
}

func (g *Gateway) leaving() bool { return g.life.State() >= kernel.Leaving }

// afterStop returns how long after the host began to stop a request arrived; 0: before, or the host is not stopping.
func (g *Gateway) afterStop(arrived time.Time) time.Duration {
	if since, leaving := g.life.LeavingSince(); leaving {
		return max(arrived.Sub(since), 0)
	}
	return 0
}

// ConnectionsClosed tells the gateway that this host closes the callers' connections now. Requests that end after
// it were cut by the host, not by their callers.
func (g *Gateway) ConnectionsClosed() { g.connectionsClosed.Store(true) }
