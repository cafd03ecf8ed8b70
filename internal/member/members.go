// Package member keeps the list of the system's hosts. Each host probes a few
// others a second and piggybacks what it knows on the probes, so that its cost
// does not grow with the fleet. Nothing exact depends on the list: two hosts
// may hold different ones for a while. docs/design/membership.md has the
// reasons and figures.
package member

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"rhubarbwood.example/rhubarbwood/internal/event"
	"rhubarbwood.example/rhubarbwood/internal/objstore"
	"rhubarbwood.example/rhubarbwood/internal/peer/peerpb"
)

// Prober sends one probe to the host that listens on address.
type Prober interface {
	Probe(ctx context.Context, address string, req *peerpb.ProbeRequest) (*peerpb.ProbeReply, error)
}

// Revisions is the configuration as far as probes carry it.
type Revisions interface {
	// Revision returns the revision in force on this host.
	Revision() uint64
	// Hint tells that a peer has shown a newer revision. It must not block.
	Hint(peer Host)
}

// Notifier spreads a new configuration revision.
type Notifier interface {
	// Announce tells a few random peers at once that this host has a new
	// revision. It does not block.
	Announce()
}

// Members is the membership as one host sees it: a kernel module, a View and
// a Notifier, and the server of the Members calls of its peers.
type Members struct {
	cfg     Config
	store   objstore.Store
	prober  Prober
	log     *event.Log
	metrics *metrics

	revisions Revisions     // set before Start
	announced chan struct{} // wakes announceLoop; capacity 1
	view      atomic.Pointer[snapshot]
	recorded  atomic.Bool   // this host may have a record in the platform
	toldCount atomic.Uint32 // hosts that the peer knew that this one joined by

	mu         sync.Mutex // guards the fields below
	self       update
	table      *table
	rng        *rand.Rand
	heard      time.Time // last exchange with any peer
	ownSync    fullSync  // with hosts of the own failure domain
	othersSync fullSync  // with hosts of other failure domains
	stopped    bool      // this host has told its end and must not refute it

	cancel context.CancelFunc
	work   sync.WaitGroup
}

var (
	_ View     = (*Members)(nil)
	_ Notifier = (*Members)(nil)
)

type snapshot struct {
	hosts      []Host
	generation uint64
	digest     uint64
}

// New returns the membership of the host self, whose State, Incarnation and
// Revision are not read.
func New(cfg Config, self Host, store objstore.Store, prober Prober, log *event.Log, reg prometheus.Registerer) *Members {
	self.State, self.Revision = Alive, 0
	self.Incarnation = uint64(time.Now().UnixNano())
	m := &Members{
		cfg: cfg, store: store, prober: prober, log: log, metrics: newMetrics(reg),
		announced: make(chan struct{}, 1),
		self:      update{Host: self},
		table:     newTable(),
		rng:       rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		revisions: noRevisions{},
	}
	m.replaceView(1)
	return m
}

// Follow makes probes carry the revision of r. It is called before Start; it
// is no argument of New because the configuration needs the membership too.
func (m *Members) Follow(r Revisions) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.revisions = r
}

// noRevisions stands in until Follow is called.
type noRevisions struct{}

func (noRevisions) Revision() uint64 { return 0 }
func (noRevisions) Hint(Host)        {}

// Start joins the membership. It succeeds also when neither the platform nor
// a peer answers: then the host is alone until one does.
func (m *Members) Start(ctx context.Context) error {
	m.join(ctx)
	m.log.Event(evStarted).Uint64("incarnation", m.Self().Incarnation).Int("hosts", len(m.Hosts())).Msg("")
	run, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.work.Go(func() { m.probeLoop(run) })
	m.work.Go(func() { m.announceLoop(run) })
	m.work.Go(func() { m.meetDomain(run) })
	m.work.Go(func() {
		if m.cfg.RecordHolders > 0 {
			m.joinByRecords(run)
		}
		m.refreshLoop(run)
	})
	return nil
}

// Leave tells the peers that this host takes no new work, and removes its
// record. The host goes on answering probes until Stop.
func (m *Members) Leave(ctx context.Context) {
	if !m.declare(Leaving) {
		return
	}
	told := m.push(ctx)
	m.log.Event(evLeaving).Int("told", told).Msg("")
	m.removeRecord(ctx)
}

// Stop leaves, if Leave was not called, ends the probes and tells a few peers
// that this host is gone, so that they need not find out.
func (m *Members) Stop(ctx context.Context) error {
	if m.cancel == nil {
		return nil
	}
	m.Leave(ctx)
	m.cancel()
	m.work.Wait()
	m.declare(Dead)
	m.push(ctx)
	return nil
}

// declare sets the state of this host and reports whether it changed. Within
// an incarnation a host only goes on from alive to leaving to dead.
func (m *Members) declare(s State) bool {
	m.lockWithRevision()
	defer m.mu.Unlock()
	if severity(s) <= severity(m.self.State) {
		return false
	}
	m.self.State = s
	m.self.Version++
	m.stopped = s == Dead
	m.table.changed = true
	m.publish()
	return true
}

// Self returns this host.
func (m *Members) Self() Host {
	m.lockWithRevision()
	defer m.mu.Unlock()
	return m.self.Host
}

// Hosts returns every host known that is not dead, sorted by id.
func (m *Members) Hosts() []Host { return m.view.Load().hosts }

// Generation changes whenever Hosts changes in more than revisions.
func (m *Members) Generation() uint64 { return m.view.Load().generation }

// Lookup returns what is known of a host, dead ones included while they are
// remembered.
func (m *Members) Lookup(id string) (Host, bool) {
	m.lockWithRevision()
	defer m.mu.Unlock()
	if id == m.self.ID {
		return m.self.Host, true
	}
	r, known := m.table.rows[id]
	if !known {
		return Host{}, false
	}
	return r.Host, true
}

// lastHeard returns when this host last exchanged a probe with any peer, by
// its own monotonic clock; the zero time if it never did.
func (m *Members) lastHeard() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.heard
}

// lockWithRevision takes m.mu and notes the revision in force in m.self. The
// revision is read before, so that no lock of the configuration is taken under
// m.mu.
func (m *Members) lockWithRevision() {
	revision := m.revisions.Revision()
	m.mu.Lock()
	if revision > m.self.Revision {
		m.self.Revision = revision
		m.table.revisionsChanged = true
	}
}

// publish makes the changes of the table visible. m.mu is held. Changes of
// revisions alone wait for the next probe, as each one copies the list.
func (m *Members) publish() {
	if !m.table.changed {
		return
	}
	m.replaceView(m.view.Load().generation + 1)
}

func (m *Members) replaceView(generation uint64) {
	m.table.changed, m.table.revisionsChanged = false, false
	m.view.Store(&snapshot{
		hosts: m.table.hosts(m.self.Host), generation: generation, digest: m.table.digest(m.self),
	})
}

// size returns how many hosts are not dead, this one included.
func (m *Members) size() int { return len(m.Hosts()) }

// sends returns how often a change is to be sent now.
func (m *Members) sends() int { return m.cfg.transmissions(m.size()) }

// Count returns the number of hosts, this one included: at least as many as the
// peer knew that this host joined by. What hosts share is divided by it, so a host
// that has only begun to learn of the others must not take more than its part.
func (m *Members) Count() int { return max(len(m.Hosts()), int(m.toldCount.Load())) }
