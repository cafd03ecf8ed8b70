// Package relay sends shard searches and reservations to the targets of the
// services that are assigned to this host. It owns the connections to the
// targets, the queue of each service, replica choice, hedging, retries, target
// health and cancellation. For requests to a service these decisions are made
// here and nowhere else. The package does not merge the results of shards, and
// it does not decide whether a reservation may run: package claim does that.
//
// Begin with Relay.Search, batchRun (one batch in flight), pool (the state of
// one service) and target.send (one HTTP attempt). Transport between hosts is
// in package relayrpc, the algorithms are in package policy.
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
	"rhubarbwood.example/rhubarbwood/internal/membudget"
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

// HostLister reads the list of hosts from the platform. objstore.Store
// implements it.
type HostLister interface {
	Hosts(ctx context.Context) ([]objstore.ListedHost, error)
}

// Relay runs shard searches and reservations against targets. Its methods are
// safe for concurrent use.
type Relay struct {
	cfg     Config
	view    catalog.View
	members member.View
	hosts   HostLister
	log     *event.Log
	metrics *metrics
	dial    dialFunc
	memory  *membudget.Budget // of the responses of all targets; nil: no limit

	// SignSender sends signs of leaving targets to other relays. It must be set
	// before Start; nil disables sending.
	SignSender SignSender

	announcer  announcer
	table      atomic.Pointer[table]
	mu         sync.Mutex  // serializes rebuilds of the table
	rebuilding atomic.Bool // a rebuild after a membership change is running

	hostListFailing bool // the last read of the host list failed; used by pollHostList only

	stop context.CancelFunc
	work sync.WaitGroup
}

// New returns a relay of the services in view. If hosts is nil, the host list
// is not polled and comes from ApplyHostList only.
func New(cfg Config, view catalog.View, members member.View, hosts HostLister,
	log *event.Log, reg prometheus.Registerer) *Relay {
	dialer := netdial.NewLimited(0) // dialTarget bounds each dial by ConnectTimeout
	r := &Relay{
		cfg: cfg, view: view, members: members, hosts: hosts, log: log,
		metrics: newMetrics(reg), dial: dialer.DialContext,
	}
	r.announcer.relay = r
	r.table.Store(&table{pools: map[string]*pool{}})
	return r
}

// Start starts polling the status of the targets and the host list.
func (r *Relay) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	r.announcer.start(ctx)
	r.current()
	r.work.Go(func() { r.pollTargets(ctx) })
	if r.hosts != nil {
		r.work.Go(func() { r.pollHostList(ctx) })
	}
	return nil
}

// Stop ends the polling and closes the idle connections. The callers must have
// ended all batches in flight before.
func (r *Relay) Stop(ctx context.Context) error {
	if r.stop == nil {
		return nil
	}
	r.announcer.stop()
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
	run := &batchRun{
		relay: r, batch: &b, ctx: ctx, body: body, deadline: deadline, emit: emit,
		rank: policy.Rank(b.RequestID), wakeup: make(chan struct{}, 1),
	}
	return run.search()
}

// Assigned reports whether this host is a relay of the service according to
// the newest membership.
func (r *Relay) Assigned(service string) bool {
	p := r.rebuild().pools[service]
	if p == nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.assigned
}

// countForeignRequest counts requests for a service that this host does not
// relay. They are served all the same, because the requesting host may have a
// different view of the membership.
func (r *Relay) countForeignRequest(p *pool) {
	p.mu.Lock()
	assigned := p.assigned
	p.mu.Unlock()
	if !assigned {
		r.metrics.foreignRequests.WithLabelValues(p.name).Inc()
	}
}

// newAttemptID returns a new ULID. Its entropy comes from crypto/rand, so that
// ids are unique across hosts.
func newAttemptID() string {
	return ulid.MustNew(ulid.Now(), rand.Reader).String()
}
