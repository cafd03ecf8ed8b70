// Package target is a stand-in for a target: it serves shard requests over HTTP/1.1 and h2c with a
// limited number of slots and connections, logs every execution of a reservation, and injects
// faults. Its rows are generated; there is no real index. docs/TARGETS.md describes the interface.
// Begin with Target and Target.Handler.
package target

import (
	"maps"
	"slices"
	"sync"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/standin"
	"rhubarbwood.example/rhubarbwood/internal/targetapi"
)

// Target is a stand-in for one target. All methods are safe for concurrent use.
type Target struct {
	cfg          Config
	rng          *standin.Rand
	slots        slots
	reservations *reservations
	counts       counters
	rows         sync.Map // shardKey to []targetapi.Row

	mu            sync.Mutex
	faults        Faults
	faultsChanged chan struct{} // closed when the faults change
	services      map[string]Holdings
	incarnation   uint64
	started       time.Time
	drainBegan    time.Time // zero: not draining
	drainServes   bool      // draining, but still accepting requests
	statusHistory []statusAt
	previousBody  []byte // body of the latest correct answer
}

// statusAt is a status and the time from which it applied.
type statusAt struct {
	since  time.Time
	status targetapi.Status
}

// New returns a ready target. The configuration must be valid. New starts no goroutine; OpenLog
// opens the file of the execution log.
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

// OpenLog opens the file of the execution log, if one is configured, and restores executions,
// stock and settled attempts of an earlier process.
func (t *Target) OpenLog() error { return t.reservations.open(t.cfg.ExecutionLog) }

// CloseLog closes the file of the execution log.
func (t *Target) CloseLog() error { return t.reservations.close() }

// ID returns the target's ID.
func (t *Target) ID() string { return t.cfg.ID }

// Executions returns the executed reservations in order.
func (t *Target) Executions() []Execution { return t.reservations.executionLog() }

// Drain starts a drain: new requests are rejected as draining, and accepted ones finish. If serve
// is set, the target reports that it is draining but still accepts requests and counts them.
func (t *Target) Drain(serve bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.drainBegan.IsZero() {
		t.drainBegan = time.Now()
	}
	t.drainServes = serve
	t.recordLocked()
}

// Restart ends a drain like a restart of the process: the incarnation increases and the cold start
// begins again. Stock and execution log are kept.
func (t *Target) Restart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.incarnation++
	t.started = time.Now()
	t.drainBegan = time.Time{}
	t.drainServes = false
	t.recordLocked()
}

// AddSnapshot adds a snapshot of the service. Without shards, the target holds the service's
// default shards in it.
func (t *Target) AddSnapshot(service string, snapshot uint64, shards ...uint32) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.services[service] = t.services[service].withSnapshot(snapshot, shards)
	t.recordLocked()
}

// DropSnapshot removes a snapshot of the service.
func (t *Target) DropSnapshot(service string, snapshot uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.services[service] = t.services[service].withoutSnapshot(snapshot)
	t.recordLocked()
	t.dropCachedRows(service, snapshot)
}

// holdsShard reports whether the target holds the shard in the snapshot, and returns the held snapshots
// of the service.
func (t *Target) holdsShard(k shardKey) (bool, []uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.services[k.service]
	shards, _ := h.shardsIn(k.snapshot)
	return slices.Contains(shards, k.shard), h.Snapshots
}

// servesService reports whether the target serves the service.
func (t *Target) servesService(service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.services[service]
	return ok
}

// drainState returns the time since the drain began, negative if the target isn't draining, and
// whether new requests are rejected because of it.
func (t *Target) drainState() (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.drainBegan.IsZero() {
		return -1, false
	}
	return time.Since(t.drainBegan), !t.drainServes
}

// recordLocked appends the current state to the history from which the status is reported.
func (t *Target) recordLocked() {
	s := targetapi.Status{
		ID:             t.cfg.ID,
		State:          targetapi.StateReady,
		Incarnation:    t.incarnation,
		Slots:          t.cfg.Slots,
		Snapshots:      map[string][]uint64{},
		SupportsSettle: t.cfg.Settles,
	}
	if !t.drainBegan.IsZero() {
		s.State = targetapi.StateDraining
	}
	for name, h := range t.services {
		s.Snapshots[name] = h.Snapshots
	}
	t.statusHistory = append(t.statusHistory, statusAt{time.Now(), s})
}

// Status returns the response of the status endpoint: state and snapshots delayed by the status
// lag, the current load, and the changes that the faults make to them.
func (t *Target) Status() targetapi.Status {
	s := t.laggedStatus()
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

func (t *Target) laggedStatus() targetapi.Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	asOf := time.Now().Add(-t.cfg.StatusLag.Std())
	for i := len(t.statusHistory) - 1; i > 0; i-- {
		if !t.statusHistory[i].since.After(asOf) {
			return t.statusHistory[i].status
		}
	}
	return t.statusHistory[0].status
}

// serviceTime draws the duration of one request in a slot.
func (t *Target) serviceTime() time.Duration {
	d := float64(t.rng.Draw(t.cfg.ServiceTime))
	f := t.Faults()
	if f.LatencyFactor > 0 && t.rng.Chance(shareOrAll(f.LatencyShare)) {
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
