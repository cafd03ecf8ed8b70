package delivery

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"rhubarbwood.example/rhubarbwood/internal/event"
	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/objstore"
)

// Compactor aggregates windows level by level and removes data that is past
// retention. Each round belongs to one host, which is chosen by hashing shard
// and time slot. Two hosts that both consider a round their own write the same
// objects, so no coordination is needed.
type Compactor struct {
	cfg            Config
	store          objstore.Store
	view           member.View
	log            *event.Log
	clock          platformClock
	removalLimiter *rate.Limiter                // limits the rate of removals
	lastSlot       [MaxShards]time.Time         // by shard: slot of the last successful round
	indexes        [MaxShards]map[string]*index // by shard and name: cache of decoded indexes
	era            uint64                       // the platform's era in which the current round's listing and the cached indexes were read
	burn           *burnGauge
	burnSlot       time.Time // interval of the newest burn report

	cancel context.CancelFunc
	done   sync.WaitGroup
}

const (
	// checkInterval is how often a host checks whether a round is due on it.
	checkInterval = 15 * time.Second
	// burnInterval is how often the burn metrics are updated.
	burnInterval = 5 * time.Minute
	// removalShare is the part of Config.WritesPerSecond that one host uses for
	// its removals. It is less than 1 because hosts may work on several shards
	// at the same time.
	removalShare = 0.25
)

// NewCompactor returns a compactor. Every host runs one. One host at a time
// also exports the burn metrics of the given objectives.
func NewCompactor(cfg Config, store objstore.Store, view member.View, objectives func() []Objective,
	log *event.Log, reg prometheus.Registerer) *Compactor {
	return &Compactor{
		cfg: cfg, store: store, view: view, log: log, clock: platformClock{store: store},
		removalLimiter: rate.NewLimiter(rate.Limit(cfg.WritesPerSecond*removalShare), 1),
		burn:           newBurnGauge(NewReporter(cfg, store, view, log), objectives, reg),
	}
}

// Start begins the compaction rounds.
func (c *Compactor) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.done.Go(func() { c.run(ctx) })
	return nil
}

// Stop ends the compaction rounds. Another host continues an interrupted round.
func (c *Compactor) Stop(context.Context) error {
	if c.cancel != nil {
		c.cancel()
		c.done.Wait()
	}
	return nil
}

func (c *Compactor) run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now, ok := c.clock.now()
		if !ok {
			continue
		}
		for shard := range MaxShards {
			c.runRoundIfDue(ctx, now, shard)
		}
		c.updateBurn(ctx, now)
	}
}

// runRoundIfDue runs a round on the shard if the newest due slot belongs to
// this host and is not done yet.
func (c *Compactor) runRoundIfDue(ctx context.Context, now time.Time, shard int) {
	period := c.period(shard)
	slot := now.UTC().Add(-slotGrace).Truncate(period).Add(-period)
	if c.lastSlot[shard].IsZero() && shard >= c.cfg.Shards {
		c.lastSlot[shard] = slot // slots that were due before this host started belong to another host
	}
	if slot.Equal(c.lastSlot[shard]) || !c.owns(slot, shard) {
		return
	}
	if err := c.round(ctx, now, shard); err != nil {
		c.log.Event(evCompactFailed).Err(err).Msg("")
		return
	}
	c.lastSlot[shard] = slot
}

// idleShardPeriod is the time between the rounds of a shard that no host writes
// to. Such a shard only contains data from a time with more shards configured.
// A round per minute on all 16 shards made 32 calls per minute, 30 of which
// found nothing.
const idleShardPeriod = time.Hour

// period returns the time between the rounds of a shard.
func (c *Compactor) period(shard int) time.Duration {
	if shard < c.cfg.Shards {
		return levels[0].slot
	}
	return idleShardPeriod
}

// burnShard is hashed in place of a shard number to choose the host that
// exports the burn metrics.
const burnShard = -1

// updateBurn updates the burn metrics if the current interval belongs to this
// host and is not done yet. It clears them if the interval belongs to another
// host.
func (c *Compactor) updateBurn(ctx context.Context, now time.Time) {
	slot := now.UTC().Truncate(burnInterval)
	if c.burnSlot.IsZero() {
		c.burnSlot = slot // skip the interval in which this host started: another host covers it, or it has too little data
	}
	if !c.owns(slot, burnShard) {
		c.burn.clear()
		return
	}
	if slot.Equal(c.burnSlot) {
		return
	}
	if err := c.burn.update(ctx); err != nil {
		c.log.Event(evBurnFailed).Err(err).Msg("")
		return
	}
	c.burnSlot = slot
}

// owns reports whether this host has the highest hash of all usable hosts for
// the slot and shard.
func (c *Compactor) owns(slot time.Time, shard int) bool {
	var best uint64
	var id string
	for _, h := range c.view.Hosts() {
		if !h.Usable() {
			continue
		}
		hash := xxhash.Sum64String(fmt.Sprintf("%d.%d.%s", slot.Unix(), shard, h.ID))
		if id == "" || hash > best {
			best, id = hash, h.ID
		}
	}
	return id == c.view.Self().ID
}

// round aggregates all due data of the shard, including data that earlier
// rounds left.
func (c *Compactor) round(ctx context.Context, now time.Time, shard int) error {
	listing, err := c.store.List(ctx, inShard(objstore.KindWindow, shard), inShard(kindIndex, shard))
	if err != nil {
		return Error.New("list windows of shard %d: %w", shard, err)
	}
	if listing.Era != c.era { // after a restore, an index with the cached version may have different content
		c.era, c.indexes = listing.Era, [MaxShards]map[string]*index{}
	}
	indexes, windows := readIndexes(listing.Objects, c.indexes[shard], c.unreadable)
	c.cacheIndexes(shard, indexes)
	aggregated := windowSetOf(allSpans(indexes))
	l := levels[0]
	due := map[time.Time][]objstore.Object{}
	for _, o := range windows {
		if slot := l.slotOf(o.Created); !now.Before(slot.Add(l.slot + slotGrace)) {
			due[slot] = append(due[slot], o)
		}
	}
	for _, slot := range sortedKeys(due) {
		if err := c.aggregateWindows(ctx, newAggregate(l, shard, slot, indexes), due[slot], aggregated); err != nil {
			return err
		}
	}
	for i := range len(levels) - 1 {
		if err := c.aggregateLevel(ctx, now, shard, levels[i], levels[i+1], indexes); err != nil {
			return err
		}
	}
	return c.retain(ctx, now, indexes)
}

// cacheIndexes caches the indexes of a shard for the host's next round.
func (c *Compactor) cacheIndexes(shard int, indexes []*index) {
	c.indexes[shard] = map[string]*index{}
	for _, x := range indexes {
		c.indexes[shard][x.name()] = x
	}
}

func sortedKeys[V any](m map[time.Time]V) []time.Time {
	return slices.SortedFunc(maps.Keys(m), time.Time.Compare)
}

// aggregateWindows aggregates the windows of a slot and removes them. Windows
// that are already in an aggregate are only removed: an interrupted round left
// them, or a delayed write created them again.
func (c *Compactor) aggregateWindows(ctx context.Context, s *aggregate, objects []objstore.Object, aggregated windowSet) error {
	var removable []objstore.Object
	for _, o := range objects {
		w, rows, err := decodeWindow(o.Value)
		if err != nil {
			c.unreadable(o, err) // not removed, so that reports continue to list it
			continue
		}
		removable = append(removable, o)
		if !aggregated.contains(w.Incarnation, w.Number) {
			s.addWindow(w, windowEnd(w, o), rows)
		}
	}
	if s.index.Windows > 0 {
		if err := c.writeAggregate(ctx, s); err != nil {
			return err
		}
	}
	for _, o := range removable {
		if err := c.removeWindow(ctx, o); err != nil {
			return err
		}
	}
	c.log.Event(evCompacted).Time("slot", s.index.Slot).Uint64("windows", s.index.Windows).Int("objects", len(objects)).Msg("")
	return nil
}

// removeWindow removes a window that is in an aggregate. If the platform was
// restored from an older copy meanwhile, it puts the window back, because the
// copy may lack the aggregate.
func (c *Compactor) removeWindow(ctx context.Context, o objstore.Object) error {
	if err := c.remove(ctx, o.Kind, o.Name, o.Version); err != nil {
		return err
	}
	if c.store.Era() == c.era {
		return nil
	}
	_, err := c.store.Put(ctx, o.Kind, o.Name, 0, o.Value)
	if conflict := (*objstore.Conflict)(nil); err != nil && !errors.As(err, &conflict) {
		return errors.Join(errRestored, Error.New("put window %s back: %w", o.Name, err))
	}
	return Error.Wrap(errRestored)
}

// aggregateLevel merges the due aggregates of level from into aggregates of
// level to, and removes them.
func (c *Compactor) aggregateLevel(ctx context.Context, now time.Time, shard int, from, to level, indexes []*index) error {
	redundant := superseded(indexes)
	slots := map[time.Time][]*index{}
	var removable []*index
	for _, x := range indexes {
		slot := to.slotOf(x.Slot)
		if x.level != from || now.Before(slot.Add(to.slot+from.mergeDelay)) {
			continue
		}
		removable = append(removable, x)
		if !redundant[x] {
			slots[slot] = append(slots[slot], x)
		}
	}
	for _, slot := range sortedKeys(slots) {
		if err := c.mergeAggregates(ctx, newAggregate(to, shard, slot, indexes), slots[slot]); err != nil {
			return err
		}
	}
	for _, x := range removable {
		if err := c.removeAggregate(ctx, x, false); err != nil {
			return err
		}
	}
	return nil
}

func (c *Compactor) mergeAggregates(ctx context.Context, s *aggregate, parts []*index) error {
	reader, err := newPartReader(ctx, c.store, nil)
	if err != nil {
		return err
	}
	slices.SortFunc(parts, func(a, b *index) int { return strings.Compare(a.name(), b.name()) })
	for _, x := range parts {
		s.addIndex(x)
		if err := reader.rows(ctx, x, func(p timedRows) { s.addRows(p.end, p.rows) }); err != nil {
			return err
		}
	}
	return c.writeAggregate(ctx, s)
}

// retain removes aggregates that are past retention.
func (c *Compactor) retain(ctx context.Context, now time.Time, indexes []*index) error {
	for _, x := range indexes {
		if now.Before(x.end().Add(c.cfg.Retention.Std())) {
			continue
		}
		if err := c.removeAggregate(ctx, x, true); err != nil {
			return err
		}
	}
	return nil
}

func (c *Compactor) unreadable(o objstore.Object, err error) {
	c.log.Event(evUnreadable).Str("object", o.Kind+"/"+o.Name).Err(err).Msg("")
}
