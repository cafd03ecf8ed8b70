package entry

import (
	"slices"
	"sync"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/catalog"
	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/query"
)

// scope is what a search asks: one service, or a whole workload.
type scope struct {
	workload string
	service  string // empty for the whole workload
	urgency  query.Urgency
	budget   time.Duration // default budget
}

// scope resolves the names of a search.
func (e *Entry) scope(q query.Search) (scope, *query.Refusal) {
	if (q.Service == "") == (q.Workload == "") {
		return scope{}, e.refuse(query.ReasonBadRequest, outcome.NotSent, "name either a service or a workload")
	}
	if q.Service != "" {
		s, ok := e.catalog.Service(q.Service)
		if !ok {
			return scope{}, e.refuse(query.ReasonUnknownService, outcome.NotSent, "no service "+q.Service)
		}
		return scope{workload: s.Workload, service: s.Name, urgency: s.Urgency, budget: s.Rules.DefaultBudget.Std()}, nil
	}
	services := e.catalog.Workload(q.Workload)
	if len(services) == 0 {
		return scope{}, e.refuse(query.ReasonUnknownService, outcome.NotSent, "no workload "+q.Workload)
	}
	sc := scope{workload: q.Workload, urgency: services[0].Urgency}
	for _, s := range services {
		sc.budget = max(sc.budget, s.Rules.DefaultBudget.Std())
	}
	return sc, nil
}

// name returns what was asked, for a person.
func (s scope) name() string {
	if s.service != "" {
		return "service " + s.service
	}
	return "workload " + s.workload
}

// coveredBy reports whether the snapshot has a shard map for the scope.
func (s scope) coveredBy(snap catalog.Snapshot) bool {
	if s.service == "" {
		return len(snap.Services) > 0
	}
	_, ok := snap.Services[s.service]
	return ok
}

// parts returns every shard of the scope in the snapshot. The snapshot alone
// says which services and shards there are, so that coverage has one meaning.
func (s scope) parts(snap catalog.Snapshot) []query.Part {
	var parts []query.Part
	for name, m := range snap.Services {
		if s.service != "" && s.service != name {
			continue
		}
		shards := make([]uint32, len(m.Shards))
		for i := range shards {
			shards[i] = uint32(i)
		}
		parts = append(parts, query.Part{Service: name, Shards: shards})
	}
	slices.SortFunc(parts, func(a, b query.Part) int {
		if a.Service < b.Service {
			return -1
		}
		return 1
	})
	return parts
}

// unheldSnapshots remembers for a short time which snapshots were found not
// held, so that the next searches do not start on them. It is safe for
// concurrent use.
type unheldSnapshots struct {
	span time.Duration
	mu   sync.Mutex
	at   map[snapshotKey]time.Time
}

type snapshotKey struct {
	workload string
	id       uint64
}

func (u *unheldSnapshots) note(workload string, id uint64, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for k, t := range u.at {
		if now.Sub(t) > u.span {
			delete(u.at, k)
		}
	}
	u.at[snapshotKey{workload, id}] = now
}

func (u *unheldSnapshots) recent(workload string, id uint64, now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	t, ok := u.at[snapshotKey{workload, id}]
	return ok && now.Sub(t) <= u.span
}
