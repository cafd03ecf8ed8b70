package discovery

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"rhubarbwood.example/rhubarbwood/internal/await"
	"rhubarbwood.example/rhubarbwood/internal/event"
	"rhubarbwood.example/rhubarbwood/internal/quarantine"
)

// Peers is the other hosts as sources of updates.
type Peers interface {
	// Watches reports whether this host is one of those that watch the store for the others.
	Watches() bool
	// Rank returns how many hosts of the group come before this one in reading the store when none
	// has any state.
	Rank() int
	// Hosts returns the number of hosts, this one included.
	Hosts() int
	// Isolated reports whether all other hosts have disappeared from the membership of this one.
	Isolated() bool
	// Poll requests from a watching host what is newer than the cursor. The host may hold the
	// request for wait.
	Poll(ctx context.Context, cursor Cursor, wait time.Duration) (Update, error)
	// BootstrapContacts returns the addresses of the hosts to query at the start, the best first.
	BootstrapContacts() []string
	// FetchState requests from the host at an address what is newer than the cursor, and all state
	// that it keeps over restores of the store. The host replies at once.
	FetchState(ctx context.Context, address string, cursor Cursor) (Update, error)
	// SendFindings sends this host's health findings to the watching hosts.
	SendFindings(ctx context.Context, findings []Finding)
	// SendRequests sends this host's quarantine records to the watching hosts, and returns how many
	// of them could not be reached.
	SendRequests(ctx context.Context, records []quarantine.Record) (missed int)
}

// Follower keeps a State up to date: on the few watching hosts from the store, on the others by
// polling those hosts. A host whose state becomes stale reads the store itself, whatever the
// reason.
type Follower struct {
	cfg     Config
	source  Source
	peers   Peers
	state   *State
	log     *event.Log
	metrics *metrics
	// quarantineStore is read by hosts that have to read the store themselves; nil: quarantined
	// requests are not read.
	quarantineStore QuarantineStore

	unusableLogs *rate.Limiter

	mu            sync.Mutex
	storeAnswered chan struct{} // closed and replaced when the store answers again after failures

	bootstrapped   chan struct{} // closed when store and peers may be followed
	startedAt      time.Time
	startJitter    float64     // random fraction of StartSpread for this host
	lastPollFailed atomic.Bool // the last poll of a peer failed or was incomplete

	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// NewFollower returns a follower that reads nothing before Start. Without peers it watches the
// store itself.
func NewFollower(cfg Config, source Source, peers Peers, state *State, log *event.Log, reg prometheus.Registerer) *Follower {
	if peers == nil {
		peers = noPeers{}
	}
	state.lapseAfter, state.permitValidity = cfg.lapseAfter(), cfg.permitValidity()
	state.tombstones = newTombstones(cfg.RegistrationBeat.Std(), state.keptSeq)
	state.evacuations.enabled, state.evacuations.retention = cfg.followsEvacuations(), cfg.evacuationRetention()
	state.orders.enabled, state.orders.currentFor, state.orders.retention = cfg.FollowRollouts, cfg.staleAfter(), cfg.orderRetention()
	return &Follower{cfg: cfg, source: source, peers: peers, state: state, log: log, metrics: newMetrics(reg),
		unusableLogs: rate.NewLimiter(unusableLogsPerSecond, unusableLogBurst), storeAnswered: make(chan struct{}), bootstrapped: make(chan struct{})}
}

// Start begins to follow. It returns at once and does not fail, as the store may be down.
func (f *Follower) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	f.startedAt = time.Now()
	f.startJitter = rand.Float64()
	f.tasks.Go(func() { f.bootstrap(ctx) })
	f.tasks.Go(func() { f.runFeed(ctx, "configuration", f.followConfig) })
	f.tasks.Go(func() { f.runFeed(ctx, "targets", f.followTargets) })
	if f.cfg.followsEvacuations() {
		f.tasks.Go(func() { f.runFeed(ctx, "evacuations", f.followEvacuations) })
	}
	if f.cfg.FollowRollouts {
		f.tasks.Go(func() { f.runFeed(ctx, "rollouts", f.followOrders) })
	}
	f.tasks.Go(func() { f.pollPeers(ctx) })
	f.tasks.Go(func() { f.sendFindings(ctx) })
	if f.state.quarantined != nil {
		f.tasks.Go(func() { f.sendRequests(ctx) })
	}
	if f.quarantineStore != nil {
		f.tasks.Go(func() { f.runFeed(ctx, "requests in quarantine", f.followQuarantine) })
	}
	f.tasks.Go(func() { f.expire(ctx) })
	return nil
}

// Stop stops following and waits until ctx is done at the longest.
func (f *Follower) Stop(ctx context.Context) error {
	f.cancel()
	return await.Group(ctx, &f.tasks)
}

// shouldReadStore reports whether this host has to read the store now: it is a watching host, its
// state is stale, or it has none and gets none from peers.
func (f *Follower) shouldReadStore() bool {
	currentAsOf := f.state.Freshness()
	if currentAsOf.IsZero() {
		return f.coldReadDue()
	}
	if f.peers.Watches() {
		return true
	}
	delay := time.Duration(f.peers.Rank()) * f.cfg.staleReadStagger()
	return f.state.clock.Since(currentAsOf) > f.cfg.staleAfter()+delay
}

// checkInterval is the time between two checks of whether this host has to read the store, or poll
// a peer.
const checkInterval = 50 * time.Millisecond

// runFeed calls follow whenever this host has to read the store, with growing delays while that
// fails.
func (f *Follower) runFeed(ctx context.Context, kind string, follow func(context.Context, *feed) error) {
	feed := &feed{follower: f, kind: kind, backoff: backoff.NewExponentialBackOff()}
	feed.backoff.InitialInterval = f.cfg.RetryFirst.Std()
	feed.backoff.MaxInterval = f.cfg.RetryMost.Std()
	f.awaitBootstrap(ctx)
	for ctx.Err() == nil {
		if !f.shouldReadStore() {
			await.Sleep(ctx, f.nextCheckDelay())
			continue
		}
		err := follow(ctx, feed)
		if ctx.Err() != nil || err == nil {
			continue
		}
		feed.noteFailure(err)
		f.waitForRetry(ctx, f.retryDelay(feed, err))
	}
}

// awaitBootstrap waits until store and peers may be followed.
func (f *Follower) awaitBootstrap(ctx context.Context) {
	select {
	case <-f.bootstrapped:
	case <-ctx.Done():
	}
}

// waitForRetry waits for the retry delay, or until the store has answered another feed: after a
// restart during an outage nothing can be served before both the configuration and the targets have
// been read.
func (f *Follower) waitForRetry(ctx context.Context, delay time.Duration) {
	f.mu.Lock()
	answered := f.storeAnswered
	f.mu.Unlock()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-answered:
	case <-ctx.Done():
	}
}

// signalStoreAnswered ends the retry delays of the other feeds.
func (f *Follower) signalStoreAnswered() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.storeAnswered)
	f.storeAnswered = make(chan struct{})
}

// retryDelay returns the time until the next call after a failed one. A non-watching host waits
// longer, as it gets its updates from the watching ones and calls are billed during an outage, too:
// this reduced the calls of seven hosts in a minute with an outage of 5.6 s from 710 to 522. In a
// large fleet the calls of all hosts together keep CallSpacing.
//
// A store that has compacted its history does answer, so everything is read again soon: when 71
// hosts spaced these reads like failed calls, they served an old configuration for 4 s. A watching
// host reads at once, unless it was refused repeatedly; the others wait long enough to get the
// state from it.
func (f *Follower) retryDelay(feed *feed, err error) time.Duration {
	delay := feed.backoff.NextBackOff()
	historyGone, watches := errors.Is(err, ErrHistoryGone), f.peers.Watches()
	switch {
	case historyGone && watches && feed.refusals == 1:
		return 0
	case watches:
		return delay
	case historyGone:
		return max(delay, f.cfg.watcherRecoveryTime())
	}
	return max(delay, f.cfg.watchWait(), time.Duration(f.peers.Hosts())*f.cfg.CallSpacing.Std())
}

// followConfig reads or watches the configuration with one store call.
func (f *Follower) followConfig(ctx context.Context, feed *feed) error {
	if feed.mustList(f.state.Cursor().ConfigRevision) {
		requestedAt := f.state.clock.Now()
		read, err := f.source.Config(ctx)
		if err != nil {
			return err
		}
		feed.noteAnswer()
		feed.noteListed()
		f.applyConfig(read, requestedAt, "store")
		return nil
	}
	asOf, _ := f.state.asOf()
	w := f.newWatch(asOf)
	read, err := f.source.WatchConfig(ctx, f.state.Cursor().ConfigRevision, w.wait)
	if err != nil {
		return err
	}
	feed.noteWatched()
	f.applyConfig(read, w.currentAsOf(read.Found), "store")
	return nil
}

func (f *Follower) applyConfig(read ConfigRead, asOf time.Time, from string) {
	if f.state.ApplyConfig(read, asOf) {
		f.logConfig(from)
	}
}

func (f *Follower) logConfig(from string) {
	v := f.state.View()
	f.log.Event(evConfigInForce).Uint64("version", v.Table.Config.Version).
		Uint64("era", v.ConfigRevision.Era).Uint64("revision", v.ConfigRevision.Number).
		Int("routes", len(v.Table.Config.Routes)).Int("services", len(v.Table.Config.Services)).
		Str("from", from).Dur("age", f.state.clock.Since(v.ConfigAsOf)).Msg("")
}

// followTargets reads or watches the registry with one store call.
func (f *Follower) followTargets(ctx context.Context, feed *feed) error {
	if feed.mustList(f.state.Cursor().RegistryRevision) {
		requestedAt := f.state.clock.Now()
		list, err := f.source.Targets(ctx)
		if err != nil {
			return f.noteRegistryFailure(err)
		}
		feed.noteAnswer()
		feed.noteListed()
		f.state.NoteReadSuccess()
		since := f.state.Cursor().RegistryRevision
		f.log.Event(evRegistryRead).Uint64("since_era", since.Era).Uint64("since", since.Number).
			Uint64("era", list.Revision.Era).Uint64("revision", list.Revision.Number).
			Int("targets", len(list.Targets)).Int("unusable", len(list.Unusable)).Msg("")
		f.logTargets(f.state.ApplyTargets(list, requestedAt), "store")
		return nil
	}
	_, asOf := f.state.asOf()
	w := f.newWatch(asOf)
	if f.state.LastReadFailed() {
		w.wait = recoveryWatchWait
	}
	changes, err := f.source.WatchTargets(ctx, f.state.Cursor().RegistryRevision, w.wait)
	if err != nil {
		return f.noteRegistryFailure(err)
	}
	feed.noteWatched()
	f.state.NoteReadSuccess()
	f.logTargets(f.state.ApplyChanges(changes, w.currentAsOf(len(changes.Changes) > 0)), "store")
	if len(changes.Changes) > 0 {
		await.Sleep(ctx, f.cfg.watchBatchDelay())
	}
	return nil
}

// recoveryWatchWait is the wait of the first watch after failed reads. Its answer shows at once
// that an outage is over, even if peers have already sent what changed meanwhile. When five
// watching hosts waited for the next change instead, they reported the end of the outage a second
// after other hosts had removed lapsed targets, in a simulation.
const recoveryWatchWait = time.Millisecond

// noteRegistryFailure records that this host failed to read the registry. If no host could,
// registrations that are missing afterwards may only have lapsed.
func (f *Follower) noteRegistryFailure(err error) error {
	if !errors.Is(err, ErrHistoryGone) {
		f.state.NoteReadFailure()
	}
	return err
}

// pollPeers applies updates from the hosts that watch the store.
func (f *Follower) pollPeers(ctx context.Context) {
	f.awaitBootstrap(ctx)
	for ctx.Err() == nil {
		// A watching host polls the others, too, while its state is stale: the store may refuse
		// this host and still serve them.
		if f.peers.Watches() && f.state.clock.Since(f.state.Freshness()) <= f.cfg.staleAfter() {
			await.Sleep(ctx, checkInterval)
			continue
		}
		wait, timeout := f.pollTimes()
		limited, cancel := context.WithTimeout(ctx, timeout)
		update, err := f.peers.Poll(limited, f.state.Cursor(), wait)
		cancel()
		f.lastPollFailed.Store(err != nil || !f.isComplete(update))
		if err != nil {
			await.Sleep(ctx, checkInterval) // the next poll may go to another peer
			continue
		}
		f.applyUpdate(update)
	}
}

// applyUpdate applies and logs an update from a peer.
func (f *Follower) applyUpdate(update Update) {
	cursor := f.state.Cursor()
	if update.AllTargets || len(update.Changes) > 0 {
		f.log.Event(evRegistryReceived).Str("peer", update.Peer).Uint64("since_era", cursor.RegistryRevision.Era).Uint64("since", cursor.RegistryRevision.Number).
			Uint64("era", update.RegistryRevision.Era).Uint64("revision", update.RegistryRevision.Number).Bool("whole", update.AllTargets).Int("targets", len(update.Changes)).Msg("")
	}
	changed := f.state.ApplyUpdate(update)
	if changed.Config {
		f.logConfig("peer")
	}
	f.logEvacuations(changed.Evacuations, "peer")
	f.logOrders(changed.Orders, "peer")
	f.logTargets(changed.Targets, "peer")
	f.state.deliverFindings(update.Findings)
	f.state.mergeRequests(update.Requests)
}

// isComplete reports whether the sender of an update has all state that this host needs.
func (f *Follower) isComplete(u Update) bool {
	evacuations := !f.cfg.followsEvacuations() || !u.EvacuationsAsOf.IsZero()
	rollouts := !f.cfg.FollowRollouts || !u.RolloutsAsOf.IsZero()
	return evacuations && rollouts && !u.ConfigAsOf.IsZero() && !u.RegistryAsOf.IsZero()
}

// pollTimes returns how long a peer may hold a poll, and the timeout of the whole call.
func (f *Follower) pollTimes() (wait, timeout time.Duration) {
	if f.state.Freshness().IsZero() {
		return f.coldPollTimes()
	}
	if f.state.clock.Since(f.state.Freshness()) > f.cfg.shortPollAfter() {
		return f.cfg.shortPollWait(), f.cfg.peerPollTimeout()
	}
	return f.cfg.peerPollWait(), f.cfg.peerPollTimeout()
}

// sendFindings sends the health findings of this host to its peers, in batches.
func (f *Follower) sendFindings(ctx context.Context) {
	for ctx.Err() == nil {
		findings := f.state.nextFindingBatch(ctx)
		limited, cancel := context.WithTimeout(ctx, f.cfg.peerPollTimeout())
		f.peers.SendFindings(limited, findings)
		cancel()
	}
}

// expireInterval is the time between two checks of targets, evacuations and orders that are kept for a
// limited time.
const expireInterval = 200 * time.Millisecond

func (f *Follower) expire(ctx context.Context) {
	for await.Sleep(ctx, expireInterval) {
		now := f.state.clock.Now()
		f.logTargets(f.state.Expire(now), "outage over")
		f.logEvacuations(f.state.ExpireEvacuations(), "restore over")
		if f.cfg.FollowRollouts {
			f.logOrders(f.state.ExpireOrders(), "restore over")
		}
	}
}
