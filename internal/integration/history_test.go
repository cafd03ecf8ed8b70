package integration

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"rhubarbwood.example/rhubarbwood/internal/catalog"
	"rhubarbwood.example/rhubarbwood/internal/query"
	"rhubarbwood.example/rhubarbwood/internal/standin"
	"rhubarbwood.example/rhubarbwood/internal/standin/target"
	"rhubarbwood.example/rhubarbwood/internal/unit"
)

const (
	totalHistories     = 10000 // of all parallel runs together
	parallelRuns       = 8
	workload           = "guest-portal"
	targetsPerService  = 3
	rowsPerShard       = 3
	historySpan        = 200 * time.Millisecond
	searchBudget       = 60 * time.Millisecond
	searchesPerHistory = 5
	lastSnapshot       = 4
	firstSnapshot      = 1
)

// history is drawn completely before it runs, so that rapid can shrink it.
type history struct {
	hosts, relays   int
	services        int
	snapshots       []catalog.Snapshot
	faults          map[string]target.Faults // by target, from faultsAt on
	faultsAt        time.Duration
	wrongSnapshot   map[string]bool // targets that answer from a different snapshot
	breakRelayAfter []int           // by host
	steps           []step
	searches        []timedSearch
	seed            uint64
}

// step is one change of a host or a target.
type step struct {
	at    time.Duration
	apply func(*site)
}

type timedSearch struct {
	at   time.Duration
	host int
	q    query.SearchRequest
}

// searchOutcome is the outcome of one search.
type searchOutcome struct {
	search  timedSearch
	answer  *query.Answer
	refusal *query.Refusal
	took    time.Duration
}

// TestSnapshotHistories runs searches while index versions and shard maps change: targets load a
// snapshot before or after it is published and drop it early or late, shards are split and moved,
// hosts observe the changes at different times, targets cut, cross, truncate and lose answers, and
// relays are lost in the middle of an answer. No answer may mix snapshots, and each must report
// its coverage correctly.
func TestSnapshotHistories(t *testing.T) {
	for run := range parallelRuns {
		t.Run(fmt.Sprint("lane", run), func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(rt *rapid.T) {
				for range run { // gives each parallel run different histories, as all use the same seed
					rapid.Uint64().Draw(rt, "skipped")
				}
				h := drawHistory(rt)
				var got []searchOutcome
				synctest.Test(t, func(*testing.T) { got = h.run() })
				for _, o := range got {
					check(rt, h, o)
				}
			})
		})
	}
}

func (h *history) run() []searchOutcome {
	s := newSite(h.hosts, h.relays, h.catalog(), h.targets())
	defer synctest.Wait()
	defer s.stop()
	s.wrongSnapshot = h.wrongSnapshot
	for i, host := range s.hosts {
		host.breakRelayAfter = h.breakRelayAfter[i]
	}
	var wg sync.WaitGroup
	for _, step := range h.steps {
		wg.Go(func() {
			time.Sleep(step.at)
			step.apply(s)
		})
	}
	wg.Go(func() {
		time.Sleep(h.faultsAt)
		for id, f := range h.faults {
			s.targets[id].SetFaults(f)
		}
	})
	got := make([]searchOutcome, len(h.searches))
	for i, search := range h.searches {
		wg.Go(func() {
			time.Sleep(search.at)
			start := time.Now()
			answer, refusal := s.hosts[search.host].entry.Search(context.Background(), search.q)
			got[i] = searchOutcome{search, answer, refusal, time.Since(start)}
		})
	}
	wg.Wait()
	return got
}

// catalog returns the services. Their addresses exist only in memory.
func (h *history) catalog() []catalog.Service {
	services := make([]catalog.Service, h.services)
	for i := range services {
		name := serviceName(i)
		services[i] = catalog.Service{Name: name, Workload: workload, Urgency: query.Interactive, Rules: catalog.DefaultRules()}
		for t := range targetsPerService {
			id := targetName(i, t)
			services[i].Targets = append(services[i].Targets, catalog.Target{
				ID: id, Address: id + ":80", FailureDomain: fmt.Sprint("domain-", t), Slots: 2, Connections: 25,
			})
		}
	}
	return services
}

func (h *history) targets() []target.Config {
	var all []target.Config
	for i := range h.services {
		for t := range targetsPerService {
			c := target.DefaultConfig()
			c.ID, c.Listen = targetName(i, t), targetName(i, t)+":80"
			c.RowsPerShard = rowsPerShard
			c.Seed = h.seed
			c.ServiceTime = standin.Latency{Mean: unit.Duration(2 * time.Millisecond), Sigma: 0.5}
			c.Services = map[string]target.Holdings{serviceName(i): {}}
			all = append(all, c)
		}
	}
	return all
}

func serviceName(i int) string   { return fmt.Sprintf("%s-%02d", workload, i) }
func targetName(i, t int) string { return fmt.Sprintf("%s-%c", serviceName(i), 'a'+t) }

func drawHistory(rt *rapid.T) *history {
	h := &history{
		hosts:         rapid.IntRange(1, 3).Draw(rt, "hosts"),
		relays:        rapid.IntRange(1, 2).Draw(rt, "relays"),
		services:      rapid.IntRange(1, 2).Draw(rt, "services"),
		faults:        make(map[string]target.Faults),
		wrongSnapshot: make(map[string]bool),
		seed:          rapid.Uint64Range(1, 1<<30).Draw(rt, "seed"),
	}
	for id := uint64(firstSnapshot); id <= lastSnapshot; id++ {
		h.drawSnapshot(rt, id)
	}
	h.faultsAt = drawTime(rt, "faults_at", 0, historySpan)
	for i := range h.services {
		for t := range targetsPerService {
			h.faults[targetName(i, t)] = drawFaults(rt)
			h.wrongSnapshot[targetName(i, t)] = rapid.IntRange(0, 3).Draw(rt, "strays") == 0
		}
	}
	for range h.hosts {
		h.breakRelayAfter = append(h.breakRelayAfter, rapid.SampledFrom([]int{-1, -1, -1, 0, 1, 3}).Draw(rt, "lose_at"))
	}
	for range searchesPerHistory {
		h.searches = append(h.searches, timedSearch{
			at:   drawTime(rt, "search_at", 0, historySpan),
			host: rapid.IntRange(0, h.hosts-1).Draw(rt, "entry"),
			q: query.SearchRequest{
				RequestID: fmt.Sprint("search-", len(h.searches)), Workload: workload, Budget: searchBudget,
				MinCoverage: rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(rt, "min_coverage"),
			},
		})
	}
	return h
}

// drawSnapshot adds a snapshot whose shard map may split or move shards of the previous one, and
// draws the times at which targets load and drop it and hosts start and stop seeing it. The first
// snapshot is present from the start.
func (h *history) drawSnapshot(rt *rapid.T, id uint64) {
	snap := catalog.Snapshot{Workload: workload, ID: id, Services: make(map[string]catalog.ShardMap)}
	published := time.Duration(id-firstSnapshot) * historySpan / lastSnapshot
	retireAt := published + drawTime(rt, "lives", historySpan/4, historySpan)
	for i := range h.services {
		shards := make([][]string, rapid.IntRange(1, 4).Draw(rt, "shards"))
		held := make([][]uint32, targetsPerService)
		for shard := range shards {
			first := rapid.IntRange(0, targetsPerService-1).Draw(rt, "holder")
			for _, t := range []int{first, (first + 1) % targetsPerService} {
				shards[shard] = append(shards[shard], targetName(i, t))
				held[t] = append(held[t], uint32(shard))
			}
		}
		snap.Services[serviceName(i)] = catalog.ShardMap{IndexVersion: fmt.Sprint("v", id), Shards: shards}
		for t := range targetsPerService {
			h.drawHolding(rt, id, i, t, held[t], published, retireAt)
		}
	}
	h.snapshots = append(h.snapshots, snap)
	for i := range h.hosts {
		visibleAt := published + drawTime(rt, "seen_late", 0, historySpan/10)
		if id == firstSnapshot {
			visibleAt = 0
		}
		h.steps = append(h.steps,
			step{visibleAt, func(s *site) { s.hosts[i].publish(snap) }},
			step{retireAt + drawTime(rt, "retired_late", 0, historySpan/10), func(s *site) { s.hosts[i].retire(id) }})
	}
}

func (h *history) drawHolding(rt *rapid.T, id uint64, i, t int, shards []uint32, published, dropped time.Duration) {
	if len(shards) == 0 {
		return
	}
	loadedAt := max(0, published+drawTime(rt, "taken", -historySpan/10, historySpan/20))
	if id == firstSnapshot {
		loadedAt = 0
	}
	droppedAt := max(loadedAt, dropped+drawTime(rt, "gone", -historySpan/5, historySpan/10))
	service, name := serviceName(i), targetName(i, t)
	h.steps = append(h.steps,
		step{loadedAt, func(s *site) { s.targets[name].AddSnapshot(service, id, shards...) }},
		step{droppedAt, func(s *site) { s.targets[name].DropSnapshot(service, id) }})
}

func drawTime(rt *rapid.T, label string, low, high time.Duration) time.Duration {
	return time.Duration(rapid.IntRange(int(low/time.Millisecond), int(high/time.Millisecond)).Draw(rt, label)) * time.Millisecond
}

func drawFaults(rt *rapid.T) target.Faults {
	share := func(label string) float64 {
		return rapid.SampledFrom([]float64{0, 0, 0, 0, 0.3, 1}).Draw(rt, label)
	}
	f := target.Faults{
		Shed: share("shed"), Fail: share("fail"), CutBefore: share("cut_before"), Cut: share("cut"),
		Crossed: share("crossed"), Truncate: share("truncate"), ShortJSON: share("short_json"), ShortRows: share("short_rows"),
		LatencyFactor: rapid.SampledFrom([]float64{0, 0, 10}).Draw(rt, "slow"),
	}
	if rapid.IntRange(0, 7).Draw(rt, "freeze") == 0 {
		f.Freeze = target.FreezeAfter
	}
	return f
}

// A dial that begins while its target stops must be refused. Otherwise its goroutine would wait
// forever after the site has ended, which occurred once in about 100,000 histories.
func TestDialOfAStoppedTargetIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(1, 1, nil, []target.Config{{ID: "a", Listen: "a:80"}})
		s.stop()
		_, err := s.network.Dial(context.Background(), "tcp", "a:80")
		if err == nil {
			t.Error("the dial went through")
		}
	})
}
