package load

import (
	"slices"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/catalog"
	"rhubarbwood.example/rhubarbwood/internal/query"
)

// coverageCheck is the result of comparing the coverage stated by an answer with
// its rows and with the shards that targets store.
type coverageCheck struct {
	wrong            bool    // coverage and rows differ, or a shard was answered that no target could answer
	possibleCoverage float64 // fraction of the shards stored on a target that is still not lost
}

// targetByID returns the settings of a target, or the zero value.
func (s *lossSite) targetByID(id string) catalog.Target {
	for _, c := range s.shardLayout.Services {
		for _, t := range c.Targets {
			if t.ID == id {
				return t
			}
		}
	}
	return catalog.Target{}
}

// checkCoverage checks the answer to a search of the services that began at the
// given time. The search has no row limit, so each shard that was answered has
// rows in the answer.
func (s *lossSite) checkCoverage(a *query.Answer, services []catalog.Service, began time.Time) coverageCheck {
	answered := make(map[query.ShardKey]bool)
	for _, r := range a.Rows {
		answered[query.ShardKey{Service: r.Service, Shard: r.Shard}] = true
	}
	check := coverageCheck{wrong: len(answered) != a.Coverage.Answered}
	possible, all := 0, 0
	for _, c := range services {
		for shard := range uint32(shardsPerService) {
			key := query.ShardKey{Service: c.Name, Shard: shard}
			all++
			throughout, atStart := s.shardAvailable(key, began)
			if throughout {
				possible++
			}
			missing := slices.Contains(a.Coverage.Missing, key)
			if answered[key] == missing || (answered[key] && !atStart) {
				check.wrong = true
			}
		}
	}
	check.wrong = check.wrong || a.Coverage.Shards != all
	check.possibleCoverage = ratio(float64(possible), float64(all))
	return check
}

// shardAvailable reports whether a target that stores the shard is not lost yet,
// and whether one was not lost at the given time. The shards of a target are
// read from its own settings, not from the shard map.
func (s *lossSite) shardAvailable(key query.ShardKey, at time.Time) (throughout, atStart bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.shardLayout.Targets {
		h, ok := c.Services[key.Service]
		if !ok || !slices.Contains(h.Shards, key.Shard) {
			continue
		}
		since, lost := s.lostTargets[c.ID]
		throughout = throughout || !lost
		atStart = atStart || !lost || !since.Before(at)
	}
	return throughout, atStart
}
