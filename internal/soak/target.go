package soak

import (
	"net/http"
	"sync"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/standin"
	"rhubarbwood.example/rhubarbwood/internal/standin/platformtarget"
	"rhubarbwood.example/rhubarbwood/internal/unit"
	"rhubarbwood.example/rhubarbwood/platform"
)

// targetServer is a target and the proxy through which hosts reach it. After each crash it
// restarts under the same ID.
type targetServer struct {
	site    *site
	id      string
	service string
	domain  string
	index   int
	proxy   *proxy

	mu           sync.Mutex
	incarnations []*platformtarget.Target // the last one is running
	down         bool
	drainedAt    time.Time // when the drain or removal was written to the store; zero: not leaving
	unregistered bool      // the registration was removed and must not be written again
}

func newTargetServer(s *site, id, service string, number int) *targetServer {
	t := &targetServer{site: s, id: id, service: service, domain: domainName(number), index: number}
	t.startIncarnation()
	return t
}

// startIncarnation starts the next incarnation.
func (t *targetServer) startIncarnation() {
	t.mu.Lock()
	defer t.mu.Unlock()
	cfg := platformtarget.Config{
		ID: t.id, Service: t.service, Slots: slotsPerTarget, Queue: slotsPerTarget, Records: recordsPerAnswer, Seed: uint64(t.index),
		Latency: standin.Latency{Mean: unit.Duration(targetLatency)}, Born: time.Now(),
	}
	t.configurePlacement(&cfg, len(t.incarnations) > 0)
	t.incarnations = append(t.incarnations, platformtarget.New(cfg))
	t.down = false
}

// current returns the running incarnation.
func (t *targetServer) current() *platformtarget.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.incarnations[len(t.incarnations)-1]
}

// runs returns the requests that all incarnations ran.
func (t *targetServer) runs() []platformtarget.Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []platformtarget.Run
	for _, one := range t.incarnations {
		all = append(all, one.Runs()...)
	}
	return all
}

// register writes the target's current registration, unless it was removed.
func (t *targetServer) register() error {
	r := t.current().Registration(t.proxy.address(), t.domain)
	t.mu.Lock()
	vanished := t.unregistered
	if !t.drainedAt.IsZero() {
		r.State = platform.StateDraining
	}
	t.mu.Unlock()
	if vanished {
		return nil
	}
	return t.site.apply(platform.KindTargets, t.id, r)
}

func (t *targetServer) mustRegister() {
	if err := t.register(); err != nil {
		panic(err) // a registration always encodes
	}
}

// drain registers the target as draining.
func (t *targetServer) drain() error {
	t.mu.Lock()
	t.drainedAt = time.Now()
	t.mu.Unlock()
	return t.register()
}

// unregister removes the target's registration. The target continues to serve.
func (t *targetServer) unregister() {
	t.mu.Lock()
	t.drainedAt, t.unregistered = time.Now(), true
	t.mu.Unlock()
	t.site.store.Remove(platform.KindTargets, t.id)
}

// leftAt returns when the target left, or the zero time.
func (t *targetServer) leftAt() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.drainedAt
}

// ServeHTTP passes a request to the running incarnation. A poison request crashes the target.
func (t *targetServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == pathPoison {
		t.site.recordPoisonArrival(poisonArrival{r.Header.Get(platform.HeaderRequestID), t.id, time.Now()})
		time.Sleep(targetLatency / 2)
		t.crash(poisonDowntime)
		panic(http.ErrAbortHandler)
	}
	t.current().ServeHTTP(w, r)
}

// crash takes a running target down for a time: its connections are reset and new ones refused.
func (t *targetServer) crash(down time.Duration) {
	t.mu.Lock()
	wasDown := t.down
	t.down = true
	t.mu.Unlock()
	if wasDown {
		return
	}
	t.proxy.refuseConnections()
	t.site.pendingTargetWork.Go(func() {
		time.Sleep(down)
		t.startIncarnation()
		if t.site.cfg.Placement {
			t.mustRegister() // a cold target registers as cold before it accepts requests
		}
		if err := t.proxy.resumeListening(); err != nil {
			panic(err) // no other site uses the address
		}
		t.mustRegister()
	})
}

// poisonArrival is a poison request that reached a target.
type poisonArrival struct {
	request string
	target  string
	at      time.Time
}

func (s *site) recordPoisonArrival(a poisonArrival) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.poisonArrivals = append(s.poisonArrivals, a)
}
