package entry

import (
	"slices"
	"sync"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/catalog"
	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/query"
)

// searchScope is the set of services that a search covers: one service or a
// whole workload.
type searchScope struct {
	workload      string
	service       string // empty for the whole workload
	urgency       query.Urgency
	defaultBudget time.Duration
}

// resolveScope looks up the service or workload of a search.
func (e *Entry) resolveScope(q query.SearchRequest) (searchScope, *query.Refusal) {
	if (q.Service == "") == (q.Workload == "") {
		return searchScope{}, e.refuse(query.ReasonBadRequest, outcome.NotSent, "name either a service or a workload")
	}
	if q.Service != "" {
		s, ok := e.catalog.Service(q.Service)
		if !ok {
			return searchScope{}, e.refuse(query.ReasonUnknownService, outcome.NotSent, "no service "+q.Service)
		}
		return searchScope{workload: s.Workload, service: s.Name, urgency: s.Urgency, defaultBudget: s.Rules.DefaultBudget.Std()}, nil
	}
	services := e.catalog.Workload(q.Workload)
	if len(services) == 0 {
		return searchScope{}, e.refuse(query.ReasonUnknownService, outcome.NotSent, "no workload "+q.Workload)
	}
	sc := searchScope{workload: q.Workload, urgency: services[0].Urgency}
	for _, s := range services {
		sc.defaultBudget = max(sc.defaultBudget, s.Rules.DefaultBudget.Std())
	}
	return sc, nil
}

// describe returns a readable description for refusals.
func (s searchScope) describe() string {
	if s.service != "" {
		return "service " + s.service
	}
	return "workload " + s.workload
}

// coveredBy reports whether the snapshot has a shard map for the scope.
func (s searchScope) coveredBy(snap catalog.Snapshot) bool {
	if s.service == "" {
		return len(snap.Services) > 0
	}
	_, ok := snap.Services[s.service]
	return ok
}

// parts returns every shard of the scope in the snapshot. Services and shards
// come from the snapshot alone, so coverage is always relative to its map.
func (s searchScope) parts(snap catalog.Snapshot) []query.ServiceShards {
	var parts []query.ServiceShards
	for name, m := range snap.Services {
		if s.service != "" && s.service != name {
			continue
		}
		shards := make([]uint32, len(m.Shards))
		for i := range shards {
			shards[i] = uint32(i)
		}
		parts = append(parts, query.ServiceShards{Service: name, Shards: shards})
	}
	slices.SortFunc(parts, func(a, b query.ServiceShards) int {
		if a.Service < b.Service {
			return -1
		}
		return 1
	})
	return parts
}

// notHeldCache keeps the snapshots that targets recently reported as not held, so
// that the next searches do not start on them. It is safe for concurrent use.
type notHeldCache struct {
	ttl    time.Duration
	mu     sync.Mutex
	seenAt map[snapshotKey]time.Time
}

type snapshotKey struct {
	workload string
	id       uint64
}

func (c *notHeldCache) add(workload string, id uint64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for k, t := range c.seenAt {
		if now.Sub(t) > c.ttl {
			delete(c.seenAt, k)
		}
	}
	c.seenAt[snapshotKey{workload, id}] = now
}

func (c *notHeldCache) contains(workload string, id uint64, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	t, ok := c.seenAt[snapshotKey{workload, id}]
	return ok && now.Sub(t) <= c.ttl
}
