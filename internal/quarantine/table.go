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

	"rhubarbwood.example/rhubarbwood/internal/event"
)

// Error is the class of this package's errors.
var Error = errs.Class("quarantine")

// Errors of Admit. Nothing was sent.
var (
	// ErrQuarantined means that the request is kept from targets.
	ErrQuarantined = errors.New("targets that run the request end")
	// ErrBusy means that the request may be tried by one attempt at a time, and another one
	// did not end in time.
	ErrBusy = errors.New("the request is being tried by another attempt")
)

// mostSuspects bounds the requests that something is held against: some 200 kB.
const mostSuspects = 1024

// Table is what a host holds against requests. Every method is safe for concurrent use.
type Table struct {
	hold time.Duration
	log  *event.Log
	// onOwn is called with each key that this host put into quarantine, or cleared after
	// that. It must not block.
	onOwn func(Key)

	size atomic.Int32 // of suspects

	mu       sync.Mutex
	suspects map[Key]*entry
	epoch    uint64 // numbers count from it; drawn at the start
	number   uint64 // of the newest change that is for other hosts
	follow   []func()
}

// entry is one suspect as this host holds it.
type entry struct {
	suspect
	number  uint64 // of the newest change that is for other hosts; 0: none is
	trying  bool   // an attempt is being made alone
	changed chan struct{}
}

// Mark names a change of one process's table.
type Mark struct{ Epoch, Number uint64 }

// NewTable returns an empty table with valid settings.
func NewTable(cfg Config, log *event.Log) *Table {
	return &Table{hold: cfg.Hold.Std(), log: log, onOwn: func(Key) {}, suspects: map[Key]*entry{}, epoch: rand.Uint64() | 1}
}

// Follow calls f after each change that is for other hosts, without a lock held. It is to
// be called before the table is used.
func (t *Table) Follow(f func()) { t.follow = append(t.follow, f) }

// Empty reports whether nothing is held against any request, so that its key need not be
// made.
func (t *Table) Empty() bool { return t == nil || t.size.Load() == 0 }

// Stance returns how attempts of a request are to be made now, and until when if not at all.
func (t *Table) Stance(k Key) (Stance, time.Time) {
	if t.Empty() {
		return Free, time.Time{}
	}
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.suspects[k]
	if e == nil {
		return Free, time.Time{}
	}
	return e.stance(now, t.hold), e.quarantinedUntil(t.hold)
}

// Attempt is an attempt that wants to be made.
type Attempt struct {
	Key     Key
	Service string
	Among   []string // services that the request is sent to
}

// Admit waits until an attempt may be made, and reports whether it is made alone; then
// Left must follow. It fails with ErrQuarantined, with ErrBusy after a time, or with the
// error of ctx.
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

// wait returns nil once a channel is closed.
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

// admit is Admit without the wait: it returns a channel that closes when it is worth
// asking again.
func (t *Table) admit(a Attempt) (alone bool, changed <-chan struct{}, err error) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.suspects[a.Key]
	if e == nil {
		return false, nil, nil
	}
	switch e.stance(now, t.hold) {
	case Free:
		return false, nil, nil
	case Quarantined:
		return false, nil, Error.Wrap(ErrQuarantined)
	}
	if e.trying || !e.tells(a) {
		return false, e.changed, nil
	}
	e.trying = true
	return true, nil, nil
}

// tells reports whether an attempt at a service can clear the request: a target of it ended,
// or of none of the services that the request is sent to.
func (e *entry) tells(a Attempt) bool {
	return e.struck(a.Service) || !slices.ContainsFunc(a.Among, e.struck)
}

// Left ends an attempt that was made alone.
func (t *Table) Left(k Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.suspects[k]; e != nil {
		e.trying = false
		e.wake()
	}
}

// Ended takes a strike against a request, and returns how many there are.
func (t *Table) Ended(k Key, s Strike) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entry(k)
	if e.add(s) {
		e.wake()
		if e.stance(time.Now(), t.hold) == Quarantined {
			t.logQuarantined(k, e, "this host")
			t.onOwn(k)
		}
	}
	return len(e.strikes)
}

func (t *Table) logQuarantined(k Key, e *entry, from string) {
	t.log.Event(evQuarantined).Stringer("content", k).Int("strikes", len(e.strikes)).
		Dur("hold", time.Until(e.quarantinedUntil(t.hold))).Str("from", from).Msg("")
}

// Answered takes an answer of a service to a request. It reports whether that clears the
// request: a target lived on that ran it, of a service whose targets had ended.
func (t *Table) Answered(k Key, service string) bool {
	if t.Empty() {
		return false
	}
	t.mu.Lock()
	e := t.suspects[k]
	if e == nil || !e.struck(service) {
		t.mu.Unlock()
		return false
	}
	t.clear(k, e, time.Now())
	t.mu.Unlock()
	t.tell()
	return true
}

// Clear drops all that is held against a request.
func (t *Table) Clear(k Key) {
	t.mu.Lock()
	if e := t.suspects[k]; e != nil {
		t.clear(k, e, time.Now())
	}
	t.mu.Unlock()
	t.tell()
}

// clear drops the strikes of an entry. One that other hosts have heard of stays, so that they
// hear of this, too. The caller holds the lock.
func (t *Table) clear(k Key, e *entry, at time.Time) {
	wasHeld := len(e.strikes) >= mostStrikes
	e.suspect.clear(at)
	e.wake()
	if wasHeld {
		t.onOwn(k)
	}
	if e.number == 0 {
		t.drop(k)
		return
	}
	t.renumber(e)
}

// Share makes what is held against a request be for other hosts, and returns it; false if it
// is nothing.
func (t *Table) Share(k Key) (Record, bool) {
	t.mu.Lock()
	e := t.suspects[k]
	if e == nil || len(e.strikes) == 0 {
		t.mu.Unlock()
		return Record{}, false
	}
	t.renumber(e)
	r := e.record(k)
	t.mu.Unlock()
	t.tell()
	return r, true
}

// renumber makes an entry the newest change. The caller holds the lock.
func (t *Table) renumber(e *entry) {
	t.number++
	e.number = t.number
}

// tell tells the followers.
func (t *Table) tell() {
	for _, f := range t.follow {
		f()
	}
}

// entry returns the entry of a key, a new one if there is none. The caller holds the lock.
func (t *Table) entry(k Key) *entry {
	e := t.suspects[k]
	if e == nil {
		t.makeRoom(time.Now())
		e = &entry{changed: make(chan struct{})}
		t.suspects[k] = e
		t.size.Store(int32(len(t.suspects)))
	}
	return e
}

// drop forgets a key. The caller holds the lock.
func (t *Table) drop(k Key) {
	if e := t.suspects[k]; e != nil {
		e.wake()
	}
	delete(t.suspects, k)
	t.size.Store(int32(len(t.suspects)))
}

// makeRoom forgets what has lapsed and, where that is not enough, the suspect with the least
// strikes, the oldest of these. The caller holds the lock.
func (t *Table) makeRoom(now time.Time) {
	if len(t.suspects) < mostSuspects {
		return
	}
	t.expire(now)
	for len(t.suspects) >= mostSuspects {
		var least Key
		var found *entry
		for k, e := range t.suspects {
			if found == nil || e.lessThan(found) {
				least, found = k, e
			}
		}
		t.drop(least)
	}
}

// lessThan orders what is forgotten first.
func (e *entry) lessThan(other *entry) bool {
	if len(e.strikes) != len(other.strikes) || len(e.strikes) == 0 {
		return len(e.strikes) < len(other.strikes)
	}
	return e.last().Before(other.last())
}

// Expire forgets what has lapsed.
func (t *Table) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
}

func (t *Table) expire(now time.Time) {
	for k, e := range t.suspects {
		if e.lapsed(now, t.hold) {
			t.drop(k)
		}
	}
}

// Held returns the requests in quarantine.
func (t *Table) Held() []Key {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []Key
	for k, e := range t.suspects {
		if e.stance(now, t.hold) == Quarantined {
			all = append(all, k)
		}
	}
	return all
}

// wake lets the attempts that wait look again.
func (e *entry) wake() {
	close(e.changed)
	e.changed = make(chan struct{})
}
