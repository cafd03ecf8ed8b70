package relay

import (
	"context"
	"crypto/rand"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/prometheus/client_golang/prometheus"

	"rhubarbwood.example/rhubarbwood/internal/await"
	"rhubarbwood.example/rhubarbwood/internal/catalog"
	"rhubarbwood.example/rhubarbwood/internal/claim"
	"rhubarbwood.example/rhubarbwood/internal/event"
	"rhubarbwood.example/rhubarbwood/internal/kernel"
	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/netdial"
	"rhubarbwood.example/rhubarbwood/internal/objstore"
	"rhubarbwood.example/rhubarbwood/internal/policy"
	"rhubarbwood.example/rhubarbwood/internal/query"
)

var (
	_ Searcher      = (*Relay)(nil)
	_ claim.Sender  = (*Relay)(nil)
	_ kernel.Module = (*Relay)(nil)
)

// HostLister reads the platform's list of hosts; objstore.Store is one.
type HostLister interface {
	Hosts(ctx context.Context) ([]objstore.LiveHost, error)
}

// Relay runs shard requests and reservations against targets. Its methods are
// safe for concurrent use.
type Relay struct {
	cfg     Config
	view    catalog.View
	members member.View
	hosts   HostLister
	log     *event.Log
	metrics *metrics
	dial    dialFunc

	// Teller, set before Start, carries signs of leaving to other relays; with
	// none, nobody is told.
	Teller Teller

	courier  courier
	table    atomic.Pointer[table]
	mu       sync.Mutex // of building tables
	planning atomic.Bool

	listUnread bool // the last read of the host list failed; of its goroutine

	stop context.CancelFunc
	work sync.WaitGroup
}

// New returns a relay of the services in view. hosts may be nil; then the
// list comes through ApplyHostList alone.
func New(cfg Config, view catalog.View, members member.View, hosts HostLister,
	log *event.Log, reg prometheus.Registerer) *Relay {
	dialer := netdial.New(0) // the pool bounds the opening
	r := &Relay{
		cfg: cfg, view: view, members: members, hosts: hosts, log: log,
		metrics: newMetrics(reg), dial: dialer.DialContext,
	}
	r.courier.relay = r
	r.table.Store(&table{pools: map[string]*pool{}})
	return r
}

// Start begins to poll the targets of this host and the host list.
func (r *Relay) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	r.courier.start(ctx)
	r.current()
	r.work.Go(func() { r.pollTargets(ctx) })
	if r.hosts != nil {
		r.work.Go(func() { r.pollHostList(ctx) })
	}
	return nil
}

// Stop ends the polling and closes the idle connections. Batches in flight
// are their callers' to end first.
func (r *Relay) Stop(ctx context.Context) error {
	if r.stop == nil {
		return nil
	}
	r.courier.stop()
	r.stop()
	if err := await.Group(ctx, &r.work); err != nil {
		return Error.New("stop polling: %w", err)
	}
	for _, p := range r.table.Load().pools {
		p.close()
	}
	return nil
}

// Search implements Searcher.
func (r *Relay) Search(ctx context.Context, b query.Batch, emit func(query.ShardResult)) error {
	body, err := newBody(&b)
	if err != nil {
		return Error.New("encode request: %w", err)
	}
	deadline := time.Now().Add(b.Budget)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	run := &run{
		relay: r, batch: &b, ctx: ctx, body: body, deadline: deadline, emit: emit,
		rank: policy.Rank(b.RequestID), bell: make(chan struct{}, 1),
	}
	return run.search()
}

// Assigned reports whether this host is one of the relays of the service, as
// of the newest membership.
func (r *Relay) Assigned(service string) bool {
	p := r.rebuild().pools[service]
	if p == nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.own
}

// noteOwnership counts work for a service of which this host is no relay. It
// is served all the same: the asking host sees another membership.
func (r *Relay) noteOwnership(p *pool) {
	p.mu.Lock()
	own := p.own
	p.mu.Unlock()
	if !own {
		r.metrics.foreign.WithLabelValues(p.name).Inc()
	}
}

// newAttemptID returns a fresh ULID. Its randomness is the system's, so that
// no two hosts make the same one.
func newAttemptID() string {
	return ulid.MustNew(ulid.Now(), rand.Reader).String()
}
