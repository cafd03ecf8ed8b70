package platformtarget

import (
	"net/http"
	"strings"
	"time"
)

// Badness is what is wrong with a version of a target's software: a part of its responses are failures or late. The zero
// value is a good version.
type Badness struct {
	Fail       float64       // probability that a request runs and is answered with status 500
	Slow       float64       // probability that a request takes SlowFactor times as long
	SlowFactor float64       // more than 1
	After      time.Duration // from the start of the target until it becomes bad
	MinRunning int           // bad only while at least so many requests run at once, the request itself included; 0: always
	PathPrefix string        // bad only for requests whose path has the prefix; empty: for all
}

// SetBadness replaces the badness. It applies to requests that begin to run from now on; After counts from the creation of
// the target.
func (t *Target) SetBadness(b Badness) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.badness = b
}

// drawBadness returns the factor on the duration of a request that begins to run, and whether it fails at its end.
func (t *Target) drawBadness(r *http.Request) (slowFactor float64, fails bool) {
	t.mu.Lock()
	b := t.badness
	t.mu.Unlock()
	if time.Since(t.createdAt) < b.After || len(t.slots) < b.MinRunning || !strings.HasPrefix(r.URL.Path, b.PathPrefix) {
		return 1, false
	}
	if t.rng.Chance(b.Fail) {
		return 1, true
	}
	if t.rng.Chance(b.Slow) {
		return max(b.SlowFactor, 1), false
	}
	return 1, false
}

// Stop ends the target at once, without draining: the connections of requests that wait or run are cut, and so are those of
// later ones, health checks included. The caller stops to listen and removes the registration.
func (t *Target) Stop() { t.stopOnce.Do(func() { close(t.stopped) }) }

// isStopped reports whether Stop was called.
func (t *Target) isStopped() bool {
	select {
	case <-t.stopped:
		return true
	default:
		return false
	}
}

// noteEnd records how a run ended.
func (t *Target) noteEnd(run *Run, bad bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	run.Ended, run.Bad = time.Now(), bad
}
