// Package objstoretest provides an in-memory fake of the platform for tests,
// with fault injection. It opens no socket and starts no goroutine, so it is
// deterministic and works inside a testing/synctest bubble. One Platform is the
// store; each host under test has its own Client, which can be disconnected
// separately. It implements objstore.Store; it has no HTTP API. Start reading at Platform.
package objstoretest

import (
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/objstore"
)

// errDown is the cause of each injected failure.
var errDown = errors.New("disconnected by the test")

type key struct{ kind, name string }

// Platform is the store behind the clients.
type Platform struct {
	mu           sync.Mutex
	objects      map[key]objstore.Object
	changes      []objstore.Object // changes after revision compacted, oldest first
	revision     uint64
	era          uint64 // 0 until the first Reset
	compacted    uint64
	changeSignal chan struct{} // closed and replaced at each change, outage and recovery
	down         bool
	heldWrites   []func()
	hosts        []objstore.ListedHost
	clock        func() time.Time
	callCounts   map[string]int
}

// New returns an empty platform whose clock is time.Now, which is the virtual
// clock inside a synctest bubble.
func New() *Platform {
	return &Platform{
		objects:      map[key]objstore.Object{},
		changeSignal: make(chan struct{}),
		clock:        time.Now,
		callCounts:   map[string]int{},
	}
}

// Client returns a new client of the platform, without faults.
func (p *Platform) Client() *Client { return &Client{p: p} }

// SetDown takes the platform down for every client, or up again. During an
// outage calls fail with *objstore.Unavailable; pending watches fail with *objstore.Unanswered.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	p.signalWatches()
}

// SetClock replaces the platform's clock.
func (p *Platform) SetClock(now func() time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.clock = now
}

// SetHosts replaces the platform's list of hosts.
func (p *Platform) SetHosts(hosts ...objstore.ListedHost) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = slices.Clone(hosts)
}

// Compact discards the changes up to the newest one, so that a watch from an
// older revision fails with objstore.ErrCompacted.
func (p *Platform) Compact() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.compacted, p.changes = p.revision, nil
	p.signalWatches()
}

// Reset restores the platform to an empty store at revision 0, as a restore
// of an empty backup would. The era increases by one.
func (p *Platform) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.objects)
	p.revision, p.compacted, p.changes = 0, 0, nil
	p.era++
	p.signalWatches()
}

// Backup is a backup of the platform's objects and revision.
type Backup struct {
	objects  map[key]objstore.Object
	revision uint64
}

// Backup returns a backup of the platform's current state.
func (p *Platform) Backup() Backup {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Backup{maps.Clone(p.objects), p.revision}
}

// Restore resets the platform to a copy. Writes made after the copy are lost, and their revisions
// are assigned again. The era increases by one.
func (p *Platform) Restore(c Backup) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects, p.revision = maps.Clone(c.objects), c.revision
	p.compacted, p.changes = p.revision, nil
	p.era++
	p.signalWatches()
}

// ApplyDelayedWrites applies the writes delayed by DelayNextWrites, in their order. A write
// whose condition is no longer met is dropped.
func (p *Platform) ApplyDelayedWrites() {
	p.mu.Lock()
	defer p.mu.Unlock()
	held := p.heldWrites
	p.heldWrites = nil
	for _, apply := range held {
		apply()
	}
}

// Calls returns how often verbs (get, list, put, delete, watch, hosts) were
// called in all, failed calls included.
func (p *Platform) Calls(verbs ...string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, v := range verbs {
		n += p.callCounts[v]
	}
	return n
}

// Revision returns the store's revision.
func (p *Platform) Revision() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.revision
}

// Objects returns the objects of a kind, sorted by name.
func (p *Platform) Objects(kind string) []objstore.Object {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.list(kind).Objects
}

// signalWatches makes pending watches check for changes again; p.mu must be held.
func (p *Platform) signalWatches() {
	close(p.changeSignal)
	p.changeSignal = make(chan struct{})
}

// list returns the objects of the kinds, sorted by kind and name; p.mu must be held.
func (p *Platform) list(kinds ...string) objstore.Listing {
	l := objstore.Listing{Revision: p.revision, Era: p.era}
	for _, o := range p.objects {
		if slices.Contains(kinds, o.Kind) {
			o.Era = p.era
			l.Objects = append(l.Objects, o)
		}
	}
	slices.SortFunc(l.Objects, func(a, b objstore.Object) int {
		return strings.Compare(a.Kind+"/"+a.Name, b.Kind+"/"+b.Name)
	})
	return l
}

// write applies a conditional write; p.mu must be held. After a deletion the
// versions of a name start again from 1.
func (p *Platform) write(k key, version uint64, value []byte, deleted bool) (objstore.Object, error) {
	current, ok := p.objects[k]
	if !ok {
		current = objstore.Object{Kind: k.kind, Name: k.name}
	}
	if deleted && !ok {
		return objstore.Object{}, objstore.ErrNotFound
	}
	if current.Version != version {
		return objstore.Object{}, &objstore.Conflict{Current: current}
	}
	now := p.clock()
	p.revision++
	next := current
	next.Version, next.Revision, next.Changed = version+1, p.revision, now
	next.Era = p.era
	next.Value, next.Deleted = slices.Clone(value), deleted
	if !ok {
		next.Created = now
	}
	p.objects[k] = next
	if deleted {
		delete(p.objects, k)
	}
	p.changes = append(p.changes, next)
	p.signalWatches()
	return next, nil
}
