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

// Prober sends a probe to the host that listens on address and returns its
// reply.
type Prober interface {
	Probe(ctx context.Context, address string, req *peerpb.ProbeRequest) (*peerpb.ProbeReply, error)
}

// RevisionSource provides the configuration revision that probes carry.
type RevisionSource interface {
	// Revision returns the configuration revision in force on this host.
	Revision() uint64
	// Hint reports that a peer has a newer revision. It must not block.
	Hint(peer Host)
}

// Notifier announces a new configuration revision to peers.
type Notifier interface {
	// Announce sends the new revision of this host to a few random peers,
	// without waiting for the next probe. It does not block.
	Announce()
}

// Members is the membership of one host: a kernel module, a View, a Notifier,
// and the server of the Members service for its peers.
type Members struct {
	cfg     Config
	store   objstore.Store
	prober  Prober
	log     *event.Log
	metrics *metrics

	revisions         RevisionSource // set before Start
	announceRequested chan struct{}  // wakes announceLoop; capacity 1
	view              atomic.Pointer[snapshot]
	mayHaveRecord     atomic.Bool   // the platform may hold a record of this host
	joinHostCount     atomic.Uint32 // largest host count in the replies to this host's join requests

	mu               sync.Mutex // guards the fields below
	self             update
	table            *table
	rng              *rand.Rand
	lastExchange     time.Time // time of the last message from any peer
	ownDomainSync    fullSync  // with hosts of the own failure domain
	otherDomainsSync fullSync  // with hosts of other failure domains
	announcedDead    bool      // this host has announced its end and must not refute it

	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

var (
	_ View     = (*Members)(nil)
	_ Notifier = (*Members)(nil)
)

// snapshot is one published view of the membership.
type snapshot struct {
	hosts      []Host
	generation uint64
	digest     uint64
}

// New returns the membership of the host self, whose State, Incarnation and
// Revision are ignored.
func New(cfg Config, self Host, store objstore.Store, prober Prober, log *event.Log, reg prometheus.Registerer) *Members {
	self.State, self.Revision = Alive, 0
	self.Incarnation = uint64(time.Now().UnixNano())
	m := &Members{
		cfg: cfg, store: store, prober: prober, log: log, metrics: newMetrics(reg),
		announceRequested: make(chan struct{}, 1),
		self:              update{Host: self},
		table:             newTable(),
		rng:               rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		revisions:         noRevisions{},
	}
	m.replaceView(1)
	return m
}

// SetRevisionSource sets the source of the revision that probes carry. It is called before
// Start; it is not a parameter of New because the configuration needs the
// membership, too.
func (m *Members) SetRevisionSource(r RevisionSource) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.revisions = r
}

// noRevisions is the source of revisions until SetRevisionSource is called.
type noRevisions struct{}

func (noRevisions) Revision() uint64 { return 0 }
func (noRevisions) Hint(Host)        {}

// Start joins the membership. It also succeeds if neither the platform nor a
// peer answers: the host is then alone until one does.
func (m *Members) Start(ctx context.Context) error {
	m.join(ctx)
	m.log.Event(evStarted).Uint64("incarnation", m.Self().Incarnation).Int("hosts", len(m.Hosts())).Msg("")
	runCtx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.goroutines.Go(func() { m.probeLoop(runCtx) })
	m.goroutines.Go(func() { m.announceLoop(runCtx) })
	m.goroutines.Go(func() { m.startupSyncLoop(runCtx) })
	m.goroutines.Go(func() {
		if m.cfg.RecordHolders > 0 {
			m.joinFromRecords(runCtx)
		}
		m.refreshLoop(runCtx)
	})
	return nil
}

// Leave announces to peers that this host takes no new work, and removes its
// record. The host still answers probes until Stop.
func (m *Members) Leave(ctx context.Context) {
	if !m.advanceState(Leaving) {
		return
	}
	accepted := m.pushState(ctx)
	m.log.Event(evLeaving).Int("told", accepted).Msg("")
	m.removeRecord(ctx)
}

// Stop calls Leave if that has not been done, ends the probes, and announces to
// a few peers that this host is dead, so that they need not detect it by
// probes.
func (m *Members) Stop(ctx context.Context) error {
	if m.cancel == nil {
		return nil
	}
	m.Leave(ctx)
	m.cancel()
	m.goroutines.Wait()
	m.advanceState(Dead)
	m.pushState(ctx)
	return nil
}

// advanceState sets the state of this host and reports whether it changed.
// Within an incarnation the state only advances, from alive to leaving to dead.
func (m *Members) advanceState(s State) bool {
	m.lockAndUpdateRevision()
	defer m.mu.Unlock()
	if severity(s) <= severity(m.self.State) {
		return false
	}
	m.self.State = s
	m.self.Version++
	m.announcedDead = s == Dead
	m.table.viewChanged = true
	m.publish()
	return true
}

// Self returns this host.
func (m *Members) Self() Host {
	m.lockAndUpdateRevision()
	defer m.mu.Unlock()
	return m.self.Host
}

// Hosts returns every host in the list that is not dead, sorted by id.
func (m *Members) Hosts() []Host { return m.view.Load().hosts }

// Generation changes whenever Hosts changes in anything but revisions.
func (m *Members) Generation() uint64 { return m.view.Load().generation }

// Lookup returns the record of a host; a dead host has one until ForgetAfter
// has passed.
func (m *Members) Lookup(id string) (Host, bool) {
	m.lockAndUpdateRevision()
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

// lastPeerContact returns when this host last received a message from any peer,
// by its own monotonic clock; the zero time if it never did.
func (m *Members) lastPeerContact() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastExchange
}

// lockAndUpdateRevision locks m.mu and copies the revision in force to m.self.
// It reads the revision before it locks m.mu, so that no lock of the
// configuration is acquired under m.mu.
func (m *Members) lockAndUpdateRevision() {
	revision := m.revisions.Revision()
	m.mu.Lock()
	if revision > m.self.Revision {
		m.self.Revision = revision
		m.table.revisionsChanged = true
	}
}

// publish publishes the changes of the table as a new view. m.mu is held.
// Changes of revisions alone are published with the next probe, as each view
// copies the list.
func (m *Members) publish() {
	if !m.table.viewChanged {
		return
	}
	m.replaceView(m.view.Load().generation + 1)
}

// replaceView publishes the table under a generation.
func (m *Members) replaceView(generation uint64) {
	m.table.viewChanged, m.table.revisionsChanged = false, false
	m.view.Store(&snapshot{
		hosts: m.table.hosts(m.self.Host), generation: generation, digest: m.table.digest(m.self),
	})
}

// hostCount returns the number of hosts that are not dead, this one included.
func (m *Members) hostCount() int { return len(m.Hosts()) }

// sendCount returns how many messages are to carry a change that is made now.
func (m *Members) sendCount() int { return m.cfg.maxTransmissions(m.hostCount()) }

// Count returns the number of hosts, this one included: at least as many as the
// peer listed that this host joined through. Limits that the hosts share are
// divided by it, so a host that has received only part of the list must not
// take more than its share.
func (m *Members) Count() int { return max(len(m.Hosts()), int(m.joinHostCount.Load())) }
