// Package catalog keeps each host's copy of the configuration, which consists of
// services and snapshots, and makes operators' changes of it.
//
// A few hosts of each failure domain watch the platform; all hosts pull changes
// from their peers. The state of a host never goes back to an earlier revision.
// A host that can't confirm for StaleAfter that its configuration is current is
// stale. The package neither sends requests to targets nor decides where they
// go: other packages read the configuration through View.
//
// Start reading at Catalog, then state in state.go, which decides what a host
// applies; watchers.go decides which hosts watch, fresh.go when a host is stale,
// and Editor in change.go makes operators' changes.
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

// Notifier notifies a few peers immediately that this host has a newer
// revision. It is implemented by the membership and must not block.
type Notifier interface{ Announce() }

// Puller calls Configuration.Pull on a peer.
type Puller interface {
	Pull(ctx context.Context, address string, in *peerpb.PullRequest) (*peerpb.PullReply, error)
}

// Catalog stores the configuration of a host and keeps it up to date from the
// platform and from its peers. It is a kernel module, a View and the server of
// the Configuration RPCs.
type Catalog struct {
	cfg      Config
	clock    *clock.Clock // measures all ages; also advances while the machine is suspended
	store    objstore.Store
	members  member.View
	puller   Puller
	notifier Notifier
	log      *event.Log
	metrics  *metrics

	state         atomic.Pointer[state]
	applied       chan struct{} // closed when the first configuration has been applied
	hintSignal    chan struct{} // wakes hintLoop; capacity 1
	rewriteSignal chan struct{} // wakes rewriteLoop; capacity 1

	mu              sync.Mutex // guards the fields below, and updates of state
	rng             *rand.Rand
	freshness       *freshness
	platformAnswers answerTimes // of the platform, received directly or reported by peers
	startedAt       time.Time
	newestHint      member.Host // peer with the newest revision of the hints not yet processed
	reportedStale   bool
	watching        bool

	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

var (
	_ kernel.Module                  = (*Catalog)(nil)
	_ View                           = (*Catalog)(nil)
	_ peerpb.DRPCConfigurationServer = (*Catalog)(nil)
)

// New returns a catalog without a configuration.
func New(cfg Config, store objstore.Store, members member.View, puller Puller, notifier Notifier,
	log *event.Log, reg prometheus.Registerer) *Catalog {
	seed := xxhash.Sum64String(members.Self().ID)
	c := &Catalog{
		cfg: cfg, store: store, members: members, puller: puller, notifier: notifier,
		log: log, metrics: newMetrics(reg),
		applied:       make(chan struct{}),
		hintSignal:    make(chan struct{}, 1),
		rewriteSignal: make(chan struct{}, 1),
		rng:           rand.New(rand.NewPCG(seed, members.Self().Incarnation)),
		freshness:     newFreshness(cfg.StaleAfter.Std()),
		startedAt:     time.Now(),
		reportedStale: true,
	}
	c.metrics.stale.Set(1)
	c.state.Store(emptyState())
	return c
}

// SetClock sets the clock that measures the ages of responses; it counts the time during which the
// machine is suspended. It must be called before Start.
func (c *Catalog) SetClock(clock *clock.Clock) {
	c.clock = clock
	c.startedAt = clock.Now()
}

// Start starts to follow the configuration and waits up to StartWait for the
// first one. It also succeeds without one; the host is then stale.
func (c *Catalog) Start(ctx context.Context) error {
	run, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.mu.Lock()
	c.startedAt = c.clock.Now()
	c.mu.Unlock()
	for _, loop := range []func(context.Context){c.watchLoop, c.pullLoop, c.hintLoop, c.rewriteLoop} {
		c.goroutines.Go(func() { loop(run) })
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

// Stop stops the goroutines that Start started. The configuration stays
// readable, and a host that is leaving continues to serve with it until it is stale.
func (c *Catalog) Stop(ctx context.Context) error {
	if c.cancel == nil {
		return nil
	}
	c.cancel()
	if err := await.Group(ctx, &c.goroutines); err != nil {
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

// Stale reports whether this host may have missed a change: for StaleAfter it
// has received a response neither from the platform nor from a peer that is not stale.
func (c *Catalog) Stale() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.freshness.stale(c.clock.Now())
}

// applyBatch applies a batch, notifies peers if it contained a newer revision,
// and counts and logs the changes under their source.
func (c *Catalog) applyBatch(b batch, source string) error {
	b.receivedAt = c.clock.Now()
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
	if slices.ContainsFunc(changed, func(e *entry) bool { return e.needsRewrite }) {
		c.signalRewrite()
	}
	return nil
}

// reportApplied updates the metrics for a new state and logs its changes.
func (c *Catalog) reportApplied(s *state, changed []*entry, source string) {
	c.metrics.revision.Set(float64(s.revision))
	if len(changed) == 0 {
		return
	}
	c.metrics.applied.WithLabelValues(source).Add(float64(len(changed)))
	c.metrics.objects.Set(float64(len(s.entries)))
	unreadable := 0
	for _, e := range s.entries {
		if e.readErr != nil {
			unreadable++
		}
	}
	c.metrics.unreadable.Set(float64(unreadable))
	for _, e := range changed {
		if e.readErr != nil {
			c.log.Event(evUnreadable).Str("kind", e.object.Kind).Str("object", e.object.Name).
				Uint64("version", e.object.Version).Stringer("revision", revision.FromOrdinal(e.object.Revision)).
				Str("error", e.readErr.Error()).Msg("")
		}
	}
	c.log.Event(evApplied).Str("source", source).Int("objects", len(changed)).Stringer("revision", revision.FromOrdinal(s.revision)).Msg("")
}

// reportFreshness logs and reports in the metrics when the host becomes stale
// or is no longer stale.
func (c *Catalog) reportFreshness() {
	c.mu.Lock()
	stale, confirmedAt := c.freshness.stale(c.clock.Now()), c.freshness.confirmedAt
	changed := stale != c.reportedStale
	c.reportedStale = stale
	c.mu.Unlock()
	switch {
	case changed && stale:
		c.metrics.stale.Set(1)
		c.log.Event(evStale).Dur("last_heard", c.clock.Since(confirmedAt)).Msg("")
	case changed:
		c.metrics.stale.Set(0)
		c.log.Event(evFresh).Stringer("revision", revision.FromOrdinal(c.Revision())).Msg("")
	}
}

// recordPlatformAnswer records a response of the platform to a request that was
// sent at the given time.
func (c *Catalog) recordPlatformAnswer(sentAt time.Time) {
	rank := watchRank(c.members.Self(), c.members.Hosts())
	c.mu.Lock()
	c.freshness.confirm(sentAt, c.hostCount())
	c.platformAnswers.record(levelOf(rank, c.cfg.WatchersPerDomain), sentAt)
	c.mu.Unlock()
	c.reportFreshness()
}

// hostCount returns the number of hosts in the membership, this one included.
func (c *Catalog) hostCount() int { return len(c.members.Hosts()) }
