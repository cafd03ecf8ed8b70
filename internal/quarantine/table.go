package quarantine

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"rhubarbwood.example/rhubarbwood/internal/await"
	"rhubarbwood.example/rhubarbwood/internal/clock"
	"rhubarbwood.example/rhubarbwood/internal/event"
)

// Error is the class of this package's errors.
var Error = errs.Class("quarantine")

// Errors of Admit. The request was not sent.
var (
	// ErrQuarantined means that the request is quarantined.
	ErrQuarantined = errors.New("targets that run the request end")
	// ErrBusy means that attempts of the request are admitted one at a time, and another one did not
	// end in time.
	ErrBusy = errors.New("the request is being tried by another attempt")
)

// maxSuspects bounds the number of keys with state, about 200 kB.
const maxSuspects = 1024

// Table is a host's state of all suspected and quarantined requests. It is safe for concurrent use.
type Table struct {
	hold  time.Duration
	clock *clock.Clock // for the ages of strikes
	log   *event.Log
	// onQuarantineChange is called with each key that this host quarantined, or cleared after a
	// quarantine. It must not block.
	onQuarantineChange func(Key)

	size atomic.Int32 // len(suspects), readable without the lock

	mu          sync.Mutex
	suspects    map[Key]*entry
	changed     chan struct{} // closed at the next change
	unsentKeys  map[Key]bool  // changed by this host and not yet returned by NextOwn
	unsentReady chan struct{} // has an element while unsentKeys is not empty
	epoch       uint64        // identifies this process's change numbers; random
	lastNumber  uint64        // of the newest change that other hosts receive
	followers   []func()
}

// entry is a suspect with its state on this host.
type entry struct {
	suspect
	changeNumber uint64 // of the newest change that other hosts receive; 0: none
	trying       bool   // an attempt was admitted alone and has not ended
}

// Mark identifies a change of one process's table.
type Mark struct{ Epoch, Number uint64 }

// NewTable returns an empty table. cfg must be valid.
func NewTable(cfg Config, log *event.Log) *Table {
	return &Table{hold: cfg.Hold.Std(), log: log, onQuarantineChange: func(Key) {}, suspects: map[Key]*entry{}, changed: make(chan struct{}),
		unsentKeys: map[Key]bool{}, unsentReady: make(chan struct{}, 1), epoch: rand.Uint64() | 1}
}

// Follow calls f after each change that other hosts receive, without a lock held. Call it before
// the table is used.
func (t *Table) Follow(f func()) { t.followers = append(t.followers, f) }

// Empty reports whether the table has no entries, in which case callers need not compute a
// request's keys.
func (t *Table) Empty() bool { return t == nil || t.size.Load() == 0 }

// SetClock sets the clock for the ages of strikes, one that includes the time in which the machine is
// suspended. Call it before the table is used.
func (t *Table) SetClock(c *clock.Clock) { t.clock = c }

// Status returns how attempts of a request are admitted now and, if quarantined, for how long.
func (t *Table) Status(r Request) (s Status, left time.Duration) {
	if t.Empty() {
		return Free, 0
	}
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	s, until := t.status(r, now)
	return s, max(until.Sub(now), 0)
}

// status returns how attempts of a request are admitted, and when its latest quarantine ends. The
// caller holds the lock.
func (t *Table) status(r Request, now time.Time) (strictest Status, until time.Time) {
	for _, e := range t.entries(r) {
		strictest = max(strictest, e.status(now, t.hold))
		if end := e.quarantinedUntil(t.hold); end.After(until) {
			until = end
		}
	}
	return strictest, until
}

// entries returns the entries of a request: of its caller and of any caller. The caller holds the
// lock.
func (t *Table) entries(r Request) []*entry {
	var entries []*entry
	for _, k := range r.keys() {
		if e := t.suspects[k]; e != nil {
			entries = append(entries, e)
		}
	}
	return entries
}

func (r Request) keys() [2]Key { return [2]Key{r.OfCaller, r.OfAnyone} }

// Attempt describes an attempt for Admit.
type Attempt struct {
	Request Request
	Service string
	Among   []string // services that the request is sent to
}

// Admit waits until an attempt is admitted, and reports whether it is admitted alone; Release must
// follow then. It fails with ErrQuarantined, with ErrBusy at the time until, or with the error of
// ctx.
func (t *Table) Admit(ctx context.Context, a Attempt, until time.Time) (alone bool, err error) {
	for {
		alone, changed, err := t.admit(a)
		if err != nil || changed == nil {
			return alone, err
		}
		if err := wait(ctx, changed, until); err != nil {
			return false, err
		}
	}
}

// wait returns nil once changed is closed.
func wait(ctx context.Context, changed <-chan struct{}, until time.Time) error {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-changed:
		return nil
	case <-timer.C:
		return Error.Wrap(ErrBusy)
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	}
}

// admit is Admit without the wait: if the attempt has to wait, it returns a channel that is closed
// at the next change.
func (t *Table) admit(a Attempt) (alone bool, changed <-chan struct{}, err error) {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	switch status, _ := t.status(a.Request, now); status {
	case Free:
		return false, nil, nil
	case Quarantined:
		return false, nil, Error.Wrap(ErrQuarantined)
	}
	entries, clears := t.entries(a.Request), false
	for _, e := range entries {
		if e.trying {
			return false, t.changed, nil
		}
		clears = clears || e.canClear(a)
	}
	if !clears {
		return false, t.changed, nil
	}
	for _, e := range entries {
		e.trying = true
	}
	return true, nil, nil
}

// canClear reports whether an answer to the attempt can clear a strike: a target of its service
// ended, or targets of none of the services that the request is sent to.
func (e *entry) canClear(a Attempt) bool {
	return len(e.strikes) > 0 && (e.hasStrikeOf(a.Service) || !slices.ContainsFunc(a.Among, e.hasStrikeOf))
}

// Release ends an attempt that was admitted alone.
func (t *Table) Release(r Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.entries(r) {
		e.trying = false
	}
	t.notifyWaiters()
}

// Ended adds a strike against a request, and reports whether the request is quarantined now.
func (t *Table) Ended(r Request, id uint64, service string) (quarantined bool) {
	now := t.clock.Now()
	strike := Strike{ID: id, Caller: r.OfCaller.caller(), Services: []string{service}, At: now}
	t.mu.Lock()
	for _, k := range r.keys() {
		e := t.entry(k)
		before := e.status(now, t.hold)
		if !e.add(strike) {
			continue
		}
		t.markUnsent(k, e)
		if e.status(now, t.hold) == Quarantined {
			t.noteQuarantined(k, e, before, "this host")
			t.onQuarantineChange(k)
		}
	}
	t.notifyWaiters()
	status, _ := t.status(r, now)
	t.mu.Unlock()
	t.notifyFollowers()
	return status == Quarantined
}

// noteQuarantined logs that a key has become quarantined.
func (t *Table) noteQuarantined(k Key, e *entry, before Status, from string) {
	if before == Quarantined {
		return
	}
	t.log.Event(evQuarantined).Str("content", k.Content()).Bool("of_anyone", k.OfAnyone()).Int("strikes", len(e.strikes)).
		Dur("hold", e.quarantinedUntil(t.hold).Sub(t.clock.Now())).Str("from", from).Msg("")
}

// Strikes returns the number of strikes against a request.
func (t *Table) Strikes(r Request) int {
	if t.Empty() {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	most := 0
	for _, e := range t.entries(r) {
		most = max(most, len(e.strikes))
	}
	return most
}

// Answered records that a target of the service answered the request and did not end. If a target
// of that service ended before, this clears a strike. It reports whether it did.
func (t *Table) Answered(r Request, service string) bool {
	if t.Empty() {
		return false
	}
	now := t.clock.Now()
	t.mu.Lock()
	cleared := false
	for _, k := range r.keys() {
		e := t.suspects[k]
		if e == nil || !e.hasStrikeOf(service) {
			continue
		}
		if !e.quarantinedUntil(t.hold).IsZero() {
			t.onQuarantineChange(k) // the store has the record
		}
		e.clearOldest(now)
		t.markUnsent(k, e)
		cleared = true
	}
	t.notifyWaiters()
	t.mu.Unlock()
	if cleared {
		t.notifyFollowers()
	}
	return cleared
}

// markUnsent marks a key as changed by this host, to be sent to the others. The caller holds the
// lock.
func (t *Table) markUnsent(k Key, e *entry) {
	t.renumber(e)
	t.unsentKeys[k] = true
	select {
	case t.unsentReady <- struct{}{}:
	default: // already signalled
	}
}

// batchDelay is the time in which changes are collected before they are sent: the end of one target
// cuts off many requests. It is short because the caller of a failed request retries at another
// host a few ms later.
const batchDelay = time.Millisecond

// NextOwn waits until this host has made changes that other hosts need, and returns their records;
// nil once ctx is done.
func (t *Table) NextOwn(ctx context.Context) []Record {
	select {
	case <-t.unsentReady:
	case <-ctx.Done():
		return nil
	}
	await.Sleep(ctx, batchDelay)
	t.mu.Lock()
	defer t.mu.Unlock()
	var records []Record
	for k := range t.unsentKeys {
		if e := t.suspects[k]; e != nil {
			records = append(records, e.record(k))
		}
	}
	clear(t.unsentKeys)
	return records
}

// renumber assigns the next change number to an entry. The caller holds the lock.
func (t *Table) renumber(e *entry) {
	t.lastNumber++
	e.changeNumber = t.lastNumber
}

// notifyFollowers calls the functions set by Follow.
func (t *Table) notifyFollowers() {
	for _, f := range t.followers {
		f()
	}
}

// entry returns the entry of a key, and creates it if needed. The caller holds the lock.
func (t *Table) entry(k Key) *entry {
	e := t.suspects[k]
	if e == nil {
		t.makeRoom(t.clock.Now())
		e = &entry{suspect: newSuspect(k)}
		t.suspects[k] = e
		t.size.Store(int32(len(t.suspects)))
	}
	return e
}

// drop removes the entry of a key. The caller holds the lock.
func (t *Table) drop(k Key) {
	delete(t.suspects, k)
	t.size.Store(int32(len(t.suspects)))
	t.notifyWaiters()
}

// makeRoom removes expired entries and, if the table is still full, the entry with the fewest
// strikes, the oldest among equals. The caller holds the lock.
func (t *Table) makeRoom(now time.Time) {
	if len(t.suspects) < maxSuspects {
		return
	}
	t.expire(now)
	for len(t.suspects) >= maxSuspects {
		var victimKey Key
		var victim *entry
		for k, e := range t.suspects {
			if victim == nil || e.evictBefore(victim) {
				victimKey, victim = k, e
			}
		}
		t.drop(victimKey)
	}
}

// evictBefore reports whether e is removed before other for lack of room.
func (e *entry) evictBefore(other *entry) bool {
	if len(e.strikes) != len(other.strikes) || len(e.strikes) == 0 {
		return len(e.strikes) < len(other.strikes)
	}
	return e.lastStrikeAt().Before(other.lastStrikeAt())
}

// Expire removes expired entries.
func (t *Table) Expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(t.clock.Now())
}

func (t *Table) expire(now time.Time) {
	for k, e := range t.suspects {
		if e.expired(now, t.hold) {
			t.drop(k)
		}
	}
}

// QuarantinedKeys returns the keys of quarantined requests.
func (t *Table) QuarantinedKeys() []Key {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	var keys []Key
	for k, e := range t.suspects {
		if e.status(now, t.hold) == Quarantined {
			keys = append(keys, k)
		}
	}
	return keys
}

// notifyWaiters wakes the attempts that wait in Admit. The caller holds the lock.
func (t *Table) notifyWaiters() {
	close(t.changed)
	t.changed = make(chan struct{})
}
