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
	hold  time.Duration
	clock *clock.Clock // of the ages of strikes
	log   *event.Log
	// onOwn is called with each key that this host put into quarantine, or cleared after
	// that. It must not block.
	onOwn func(Key)

	size atomic.Int32 // of suspects

	mu       sync.Mutex
	suspects map[Key]*entry
	changed  chan struct{} // closes at the next change
	own      map[Key]bool  // that this host found something of, to be told
	ownFound chan struct{} // has an element while there are any
	epoch    uint64        // numbers count from it; drawn at the start
	number   uint64        // of the newest change that is for other hosts
	follow   []func()
}

// entry is one suspect as this host holds it.
type entry struct {
	suspect
	number uint64 // of the newest change that is for other hosts; 0: none is
	trying bool   // an attempt is being made alone
}

// Mark names a change of one process's table.
type Mark struct{ Epoch, Number uint64 }

// NewTable returns an empty table with valid settings.
func NewTable(cfg Config, log *event.Log) *Table {
	return &Table{hold: cfg.Hold.Std(), log: log, onOwn: func(Key) {}, suspects: map[Key]*entry{}, changed: make(chan struct{}),
		own: map[Key]bool{}, ownFound: make(chan struct{}, 1), epoch: rand.Uint64() | 1}
}

// Follow calls f after each change that is for other hosts, without a lock held. It is to
// be called before the table is used.
func (t *Table) Follow(f func()) { t.follow = append(t.follow, f) }

// Empty reports whether nothing is held against any request, so that its key need not be
// made.
func (t *Table) Empty() bool { return t == nil || t.size.Load() == 0 }

// GoBy makes the ages of strikes go by a clock that counts the time in which the machine is suspended.
// It is to be called before the table is used.
func (t *Table) GoBy(c *clock.Clock) { t.clock = c }

// Stance returns how attempts of a request are to be made now, and for how long if not at all.
func (t *Table) Stance(r Request) (s Stance, left time.Duration) {
	if t.Empty() {
		return Free, 0
	}
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	s, until := t.stance(r, now)
	return s, max(until.Sub(now), 0)
}

// stance is Stance. The caller holds the lock.
func (t *Table) stance(r Request, now time.Time) (strictest Stance, until time.Time) {
	for _, e := range t.entries(r) {
		strictest = max(strictest, e.stance(now, t.hold))
		if end := e.quarantinedUntil(t.hold); end.After(until) {
			until = end
		}
	}
	return strictest, until
}

// entries returns what there is of a request: of its caller and of anyone. The caller holds the
// lock.
func (t *Table) entries(r Request) []*entry {
	var all []*entry
	for _, k := range r.keys() {
		if e := t.suspects[k]; e != nil {
			all = append(all, e)
		}
	}
	return all
}

func (r Request) keys() [2]Key { return [2]Key{r.OfCaller, r.OfAnyone} }

// Attempt is an attempt that wants to be made.
type Attempt struct {
	Request Request
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
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	switch stance, _ := t.stance(a.Request, now); stance {
	case Free:
		return false, nil, nil
	case Quarantined:
		return false, nil, Error.Wrap(ErrQuarantined)
	}
	entries, tells := t.entries(a.Request), false
	for _, e := range entries {
		if e.trying {
			return false, t.changed, nil
		}
		tells = tells || e.tells(a)
	}
	if !tells {
		return false, t.changed, nil
	}
	for _, e := range entries {
		e.trying = true
	}
	return true, nil, nil
}

// tells reports whether an attempt at a service can clear the request: a target of it ended,
// or of none of the services that the request is sent to.
func (e *entry) tells(a Attempt) bool {
	return len(e.strikes) > 0 && (e.struck(a.Service) || !slices.ContainsFunc(a.Among, e.struck))
}

// Left ends an attempt that was made alone.
func (t *Table) Left(r Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.entries(r) {
		e.trying = false
	}
	t.wake()
}

// Ended takes a strike against a request. It reports whether the request is in quarantine now.
func (t *Table) Ended(r Request, id uint64, service string) (quarantined bool) {
	now := t.clock.Now()
	strike := Strike{ID: id, Caller: r.OfCaller.caller(), Services: []string{service}, At: now}
	t.mu.Lock()
	for _, k := range r.keys() {
		e := t.entry(k)
		before := e.stance(now, t.hold)
		if !e.add(strike) {
			continue
		}
		t.found(k, e)
		if e.stance(now, t.hold) == Quarantined {
			t.noteQuarantined(k, e, before, "this host")
			t.onOwn(k)
		}
	}
	t.wake()
	stance, _ := t.stance(r, now)
	t.mu.Unlock()
	t.tell()
	return stance == Quarantined
}

// noteQuarantined logs that requests of a key are in quarantine from now on.
func (t *Table) noteQuarantined(k Key, e *entry, before Stance, from string) {
	if before == Quarantined {
		return
	}
	t.log.Event(evQuarantined).Str("content", k.Content()).Bool("of_anyone", k.OfAnyone()).Int("strikes", len(e.strikes)).
		Dur("hold", e.quarantinedUntil(t.hold).Sub(t.clock.Now())).Str("from", from).Msg("")
}

// Strikes returns how many strikes there are against a request.
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

// Answered takes an answer of a service to a request: a target lived on that ran it. Where targets of
// the service had ended that clears a strike. It reports whether it did.
func (t *Table) Answered(r Request, service string) bool {
	if t.Empty() {
		return false
	}
	now := t.clock.Now()
	t.mu.Lock()
	cleared := false
	for _, k := range r.keys() {
		e := t.suspects[k]
		if e == nil || !e.struck(service) {
			continue
		}
		if !e.quarantinedUntil(t.hold).IsZero() {
			t.onOwn(k) // the store knows of it
		}
		e.answered(now)
		t.found(k, e)
		cleared = true
	}
	t.wake()
	t.mu.Unlock()
	if cleared {
		t.tell()
	}
	return cleared
}

// found notes that this host found something of a key, for the others to be told. The caller holds
// the lock.
func (t *Table) found(k Key, e *entry) {
	t.renumber(e)
	t.own[k] = true
	select {
	case t.ownFound <- struct{}{}:
	default: // it is set already
	}
}

// tellEvery is the time in which what is found is gathered before it is told: one target's end cuts
// off many requests. The caller of one that failed asks another host a few ms later.
const tellEvery = time.Millisecond

// NextOwn waits until this host has found something of requests that the others are to be told, and
// returns it; nil once ctx is done.
func (t *Table) NextOwn(ctx context.Context) []Record {
	select {
	case <-t.ownFound:
	case <-ctx.Done():
		return nil
	}
	await.Sleep(ctx, tellEvery)
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []Record
	for k := range t.own {
		if e := t.suspects[k]; e != nil {
			all = append(all, e.record(k))
		}
	}
	clear(t.own)
	return all
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
		t.makeRoom(t.clock.Now())
		e = &entry{suspect: newSuspect(k)}
		t.suspects[k] = e
		t.size.Store(int32(len(t.suspects)))
	}
	return e
}

// drop forgets a key. The caller holds the lock.
func (t *Table) drop(k Key) {
	delete(t.suspects, k)
	t.size.Store(int32(len(t.suspects)))
	t.wake()
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
func (t *Table) Expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(t.clock.Now())
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
	now := t.clock.Now()
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

// wake lets the attempts that wait look again. The caller holds the lock.
func (t *Table) wake() {
	close(t.changed)
	t.changed = make(chan struct{})
}
