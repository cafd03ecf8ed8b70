package relay

import (
	"sort"
	"strings"
	"sync/atomic"

	"rhubarbwood.example/rhubarbwood/internal/catalog"
	"rhubarbwood.example/rhubarbwood/internal/policy"
)

// replicaSet is the targets that hold the same shards.
type replicaSet struct {
	targets  []*target
	replicas []*policy.Replica // of the same targets
	hedger   *policy.Hedger
	delay    atomic.Int64 // the hedger's, to be read without the lock
}

func (s *replicaSet) add(t *target) {
	s.targets = append(s.targets, t)
	s.replicas = append(s.replicas, t.rep)
}

// placement tells the replica set of each shard in one snapshot.
type placement struct{ shards []*replicaSet }

// placement returns where the shards of a snapshot are; nil if the snapshot
// is not known.
func (p *pool) placement(id uint64) *placement {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m, ok := p.maps[id]; ok {
		return m
	}
	for _, s := range p.relay.view.Snapshots(p.conf.Workload) {
		if s.ID == id {
			p.maps[id] = p.place(s.Services[p.name])
			return p.maps[id]
		}
	}
	return nil
}

func (p *pool) place(m catalog.ShardMap) *placement {
	pl := &placement{shards: make([]*replicaSet, len(m.Shards))}
	for i, ids := range m.Shards {
		pl.shards[i] = p.set(ids)
	}
	return pl
}

func (p *pool) set(ids []string) *replicaSet {
	sorted := append([]string(nil), ids...)
	sort.Strings(sorted)
	key := strings.Join(sorted, "\x00")
	if s, ok := p.sets[key]; ok {
		return s
	}
	s := &replicaSet{hedger: policy.NewHedger(p.conf.Rules.HedgeQuantile, p.conf.Rules.HedgeBudget)}
	for _, id := range sorted {
		if t, ok := p.byID[id]; ok && len(s.targets) < maxHolders {
			s.add(t)
		}
	}
	p.sets[key] = s
	return s
}
