package catalog

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"

	"rhubarbwood.example/rhubarbwood/internal/await"
	"rhubarbwood.example/rhubarbwood/internal/clock"
	"rhubarbwood.example/rhubarbwood/internal/event"
	"rhubarbwood.example/rhubarbwood/internal/kernel"
	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/objstore"
	"rhubarbwood.example/rhubarbwood/internal/peer/peerpb"
	"rhubarbwood.example/rhubarbwood/internal/revision"
)

// Notifier tells a few peers at once that this host has a newer revision; the
// membership does. It must not block.
type Notifier interface{ Announce() }

// Puller calls Configuration.Pull of a peer.
type Puller interface {
	Pull(ctx context.Context, address string, in *peerpb.PullRequest) (*peerpb.PullReply, error)
}

// Catalog holds the configuration of a host and keeps it up to date from the
// platform and from its peers. It is a kernel module, a View and the server of
// Configuration.
type Catalog struct {
	cfg      Config
	clock    *clock.Clock // of all ages
	store    objstore.Store
	members  member.View
	puller   Puller
	notifier Notifier
	log      *event.Log
	metrics  *metrics

	state   atomic.Pointer[state]
	applied chan struct{} // closed when the first configuration is in force
	hints   chan struct{} // wakes hintLoop; capacity 1
	lost    chan struct{} // wakes rewriteLoop; capacity 1

	mu        sync.Mutex // guards what follows, and changes of state
	rng       *rand.Rand
	fresh     *freshness
	lastHeard lastHeard // of the platform, also through peers
	started   time.Time
	hint      member.Host // with the newest revision hinted at
	wasStale  bool
	watching  bool

	cancel context.CancelFunc
	done   sync.WaitGroup
}

var (
	_ kernel.Module                  = (*Catalog)(nil)
	_ View                           = (*Catalog)(nil)
	_ peerpb.DRPCConfigurationServer = (*Catalog)(nil)
)

// New returns a catalog without configuration.
func New(cfg Config, store objstore.Store, members member.View, puller Puller, notifier Notifier,
	log *event.Log, reg prometheus.Registerer) *Catalog {
	seed := xxhash.Sum64String(members.Self().ID)
	c := &Catalog{
		cfg: cfg, store: store, members: members, puller: puller, notifier: notifier,
		log: log, metrics: newMetrics(reg),
		applied:  make(chan struct{}),
		hints:    make(chan struct{}, 1),
		lost:     make(chan struct{}, 1),
		rng:      rand.New(rand.NewPCG(seed, members.Self().Incarnation)),
		fresh:    newFreshness(cfg.StaleAfter.Std()),
		started:  time.Now(),
		wasStale: true,
	}
	c.metrics.stale.Set(1)
	c.state.Store(emptyState())
	return c
}

// GoBy makes the ages of answers go by a clock that counts the time in which the machine is
// suspended. It is to be called before Start.
func (c *Catalog) GoBy(clock *clock.Clock) {
	c.clock = clock
	c.started = clock.Now()
}

// Start begins to follow the configuration and waits up to StartWait for a first
// one. Without one it succeeds as well, and the host is stale.
func (c *Catalog) Start(ctx context.Context) error {
	run, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.mu.Lock()
	c.started = c.clock.Now()
	c.mu.Unlock()
	for _, loop := range []func(context.Context){c.watchLoop, c.pullLoop, c.hintLoop, c.rewriteLoop} {
		c.done.Go(func() { loop(run) })
	}
	timer := time.NewTimer(c.cfg.StartWait.Std())
	defer timer.Stop()
	select {
	case <-c.applied:
	case <-timer.C:
	case <-ctx.Done():
	}
	return nil
}

// Stop ends what Start began. The configuration stays readable, and a host
// that is leaving goes on serving with it for the time that it is not stale.
func (c *Catalog) Stop(ctx context.Context) error {
	if c.cancel == nil {
		return nil
	}
	c.cancel()
	if err := await.Group(ctx, &c.done); err != nil {
		return Error.New("stop: %w", err)
	}
	return nil
}

// Service implements View.
func (c *Catalog) Service(name string) (Service, bool) {
	return c.state.Load().view.service(name)
}

// Workload implements View.
func (c *Catalog) Workload(name string) []Service { return c.state.Load().view.workloads[name] }

// Services implements View.
func (c *Catalog) Services() []Service { return c.state.Load().view.services }

// Snapshots implements View.
func (c *Catalog) Snapshots(workload string) []Snapshot {
	return c.state.Load().view.snapshots[workload]
}

// Revision implements View.
func (c *Catalog) Revision() uint64 { return c.state.Load().revision }

// Stale reports whether this host may have missed a change: it has heard
// neither the platform nor a fresh peer for StaleAfter.
func (c *Catalog) Stale() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fresh.stale(c.clock.Now())
}

// applyBatch applies a batch, announces it to the peers if it held something
// new, and counts and logs it under its source.
func (c *Catalog) applyBatch(b batch, source string) error {
	b.at = c.clock.Now()
	c.mu.Lock()
	next, changed, err := c.state.Load().apply(b)
	if err != nil {
		c.mu.Unlock()
		return err
	}
	first := c.state.Load().complete == 0 && next.complete > 0
	newer := next.revision > c.state.Load().revision
	c.state.Store(next)
	if first {
		close(c.applied)
	}
	c.mu.Unlock()
	if newer {
		c.notifier.Announce()
	}
	c.reportApplied(next, changed, source)
	if slices.ContainsFunc(changed, func(e *entry) bool { return e.lost }) {
		c.wakeRewriting()
	}
	return nil
}

// reportApplied sets the metrics of a new state and logs what changed in it.
func (c *Catalog) reportApplied(s *state, changed []*entry, source string) {
	c.metrics.revision.Set(float64(s.revision))
	if len(changed) == 0 {
		return
	}
	c.metrics.applied.WithLabelValues(source).Add(float64(len(changed)))
	c.metrics.objects.Set(float64(len(s.entries)))
	unreadable := 0
	for _, e := range s.entries {
		if e.problem != nil {
			unreadable++
		}
	}
	c.metrics.unreadable.Set(float64(unreadable))
	for _, e := range changed {
		if e.problem != nil {
			c.log.Event(evUnreadable).Str("kind", e.object.Kind).Str("object", e.object.Name).
				Uint64("version", e.object.Version).Stringer("revision", revision.FromOrdinal(e.object.Revision)).
				Str("error", e.problem.Error()).Msg("")
		}
	}
	c.log.Event(evApplied).Str("source", source).Int("objects", len(changed)).Stringer("revision", revision.FromOrdinal(s.revision)).Msg("")
}

// noteFreshness logs when the host becomes stale or fresh.
func (c *Catalog) noteFreshness() {
	c.mu.Lock()
	stale, last := c.fresh.stale(c.clock.Now()), c.fresh.confirmed
	turned := stale != c.wasStale
	c.wasStale = stale
	c.mu.Unlock()
	switch {
	case turned && stale:
		c.metrics.stale.Set(1)
		c.log.Event(evStale).Dur("last_heard", c.clock.Since(last)).Msg("")
	case turned:
		c.metrics.stale.Set(0)
		c.log.Event(evFresh).Stringer("revision", revision.FromOrdinal(c.Revision())).Msg("")
	}
}

// heardPlatform notes an answer of the platform that was asked for at the given
// time.
func (c *Catalog) heardPlatform(asked time.Time) {
	rank := watchRank(c.members.Self(), c.members.Hosts())
	c.mu.Lock()
	c.fresh.confirm(asked, c.hostCount())
	c.lastHeard.record(levelOf(rank, c.cfg.WatchersPerDomain), asked)
	c.mu.Unlock()
	c.noteFreshness()
}

// hostCount returns the number of hosts that may be running.
func (c *Catalog) hostCount() int { return len(c.members.Hosts()) }
