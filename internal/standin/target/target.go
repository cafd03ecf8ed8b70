package target

import (
	"maps"
	"slices"
	"sync"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/standin"
	"rhubarbwood.example/rhubarbwood/internal/targetapi"
)

// Target is the stand-in of one target. Every method is safe for concurrent
// use.
type Target struct {
	cfg          Config
	rng          *standin.Rand
	slots        slots
	reservations *reservations
	counts       counters
	rows         sync.Map // shardKey to []targetapi.Row

	mu            sync.Mutex
	faults        Faults
	faultsChanged chan struct{} // closes when the faults change
	services      map[string]Holdings
	incarnation   uint64
	started       time.Time
	drainBegan    time.Time // zero: not draining
	drainServes   bool      // draining, but still taking requests
	history       []statusAt
	previous      []byte // body of the last true answer
}

// statusAt is a status as it was from a time on.
type statusAt struct {
	at     time.Time
	status targetapi.Status
}

// New returns a ready target with this configuration, which must be valid. It
// starts no goroutine. The execution log's file is opened by OpenLog.
func New(cfg Config) *Target {
	t := &Target{
		cfg:           cfg,
		rng:           standin.NewRand(cfg.Seed),
		slots:         slots{size: cfg.Slots, queueLimit: cfg.QueueLength},
		reservations:  newReservations(cfg.Stock),
		faults:        cfg.Faults,
		faultsChanged: make(chan struct{}),
		services:      maps.Clone(cfg.Services),
		incarnation:   cfg.Incarnation,
		started:       time.Now(),
	}
	if t.incarnation == 0 {
		t.incarnation = uint64(t.started.UnixMilli())
	}
	t.recordLocked()
	return t
}

// OpenLog opens the execution log's file, if one is configured, and takes over
// what an earlier process wrote there: executions, stock and settled attempts.
func (t *Target) OpenLog() error { return t.reservations.open(t.cfg.ExecutionLog) }

// CloseLog closes it.
func (t *Target) CloseLog() error { return t.reservations.close() }

// ID returns the target's id.
func (t *Target) ID() string { return t.cfg.ID }

// Executions returns the reservations that ran, in order.
func (t *Target) Executions() []Execution { return t.reservations.log() }

// Drain begins a drain: new requests are refused as draining, those taken
// already end. If serve is set the target says that it is draining, but still
// takes requests and counts them.
func (t *Target) Drain(serve bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.drainBegan.IsZero() {
		t.drainBegan = time.Now()
	}
	t.drainServes = serve
	t.recordLocked()
}

// Restart ends a drain as a new start would: the incarnation grows and the
// target is cold again. Stock and execution log stay.
func (t *Target) Restart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.incarnation++
	t.started = time.Now()
	t.drainBegan = time.Time{}
	t.drainServes = false
	t.recordLocked()
}

// AddSnapshot makes the target hold the snapshot of the service. With no
// shards it holds those that it holds of the service in general.
func (t *Target) AddSnapshot(service string, snapshot uint64, shards ...uint32) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.services[service] = t.services[service].with(snapshot, shards)
	t.recordLocked()
}

// DropSnapshot makes the target hold the snapshot no longer.
func (t *Target) DropSnapshot(service string, snapshot uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.services[service] = t.services[service].without(snapshot)
	t.recordLocked()
	t.forgetRows(service, snapshot)
}

// holds reports whether the target holds the shard in the snapshot, and
// returns the snapshots that it holds of the service.
func (t *Target) holds(k shardKey) (bool, []uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.services[k.service]
	shards, _ := h.in(k.snapshot)
	return slices.Contains(shards, k.shard), h.Snapshots
}

// serves reports whether the target is one of the service.
func (t *Target) serves(service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.services[service]
	return ok
}

// drained returns the time since the drain began, negative if there is none,
// and whether new requests are refused for it.
func (t *Target) drained() (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.drainBegan.IsZero() {
		return -1, false
	}
	return time.Since(t.drainBegan), !t.drainServes
}

// recordLocked adds the present state to the history that the status is told
// from.
func (t *Target) recordLocked() {
	s := targetapi.Status{
		ID:          t.cfg.ID,
		State:       targetapi.StateReady,
		Incarnation: t.incarnation,
		Slots:       t.cfg.Slots,
		Snapshots:   map[string][]uint64{},
		Settles:     t.cfg.Settles,
	}
	if !t.drainBegan.IsZero() {
		s.State = targetapi.StateDraining
	}
	for name, h := range t.services {
		s.Snapshots[name] = h.Snapshots
	}
	t.history = append(t.history, statusAt{time.Now(), s})
}

// Status returns what the status endpoint tells: state and snapshots as old as
// the lag, the load of now, and lies if the faults say so.
func (t *Target) Status() targetapi.Status {
	s := t.lagging()
	f := t.Faults()
	running, queued, _ := t.slots.load()
	s.Load = float64(running+queued) / float64(t.cfg.Slots)
	if f.HideLoad {
		s.Load = 0
	}
	if f.Status != "" {
		s.State = f.Status
	}
	return s
}

func (t *Target) lagging() targetapi.Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	asOf := time.Now().Add(-t.cfg.StatusLag.Std())
	for i := len(t.history) - 1; i > 0; i-- {
		if !t.history[i].at.After(asOf) {
			return t.history[i].status
		}
	}
	return t.history[0].status
}

// serviceTime draws the time of one request in a slot.
func (t *Target) serviceTime() time.Duration {
	d := float64(t.rng.Draw(t.cfg.ServiceTime))
	f := t.Faults()
	if f.LatencyFactor > 0 && t.rng.Chance(share(f.LatencyShare)) {
		d *= f.LatencyFactor
	}
	return time.Duration(d * t.coldFactor())
}

func (t *Target) coldFactor() float64 {
	cold := t.cfg.ColdStart
	if cold.Duration <= 0 {
		return 1
	}
	t.mu.Lock()
	age := time.Since(t.started)
	t.mu.Unlock()
	left := 1 - float64(age)/float64(cold.Duration)
	return 1 + max(0, left)*(cold.Factor-1)
}
