package relay

import (
	"sort"
	"strings"
	"sync/atomic"

	"rhubarbwood.example/rhubarbwood/internal/catalog"
	"rhubarbwood.example/rhubarbwood/internal/policy"
)

// replicaSet is the set of targets that hold the same shards.
type replicaSet struct {
	targets         []*target
	replicas        []*policy.Replica // policy state of targets, in the same order
	hedger          *policy.Hedger
	hedgeDelayNanos atomic.Int64 // copy of the delay of hedger, readable without the lock of the pool
}

func (s *replicaSet) add(t *target) {
	s.targets = append(s.targets, t)
	s.replicas = append(s.replicas, t.replica)
}

// placement maps each shard of a snapshot to its replica set.
type placement struct{ shards []*replicaSet }

// placement returns the placement of a snapshot, or nil if the snapshot is
// unknown.
func (p *pool) placement(id uint64) *placement {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m, ok := p.placements[id]; ok {
		return m
	}
	for _, s := range p.relay.view.Snapshots(p.conf.Workload) {
		if s.ID == id {
			p.placements[id] = p.buildPlacement(s.Services[p.name])
			return p.placements[id]
		}
	}
	return nil
}

func (p *pool) buildPlacement(m catalog.ShardMap) *placement {
	pl := &placement{shards: make([]*replicaSet, len(m.Shards))}
	for i, ids := range m.Shards {
		pl.shards[i] = p.replicaSet(ids)
	}
	return pl
}

// replicaSet returns the replica set of the given targets. Shards with the
// same targets share one.
func (p *pool) replicaSet(ids []string) *replicaSet {
	sorted := append([]string(nil), ids...)
	sort.Strings(sorted)
	key := strings.Join(sorted, "\x00")
	if s, ok := p.replicaSets[key]; ok {
		return s
	}
	s := &replicaSet{hedger: policy.NewHedger(p.conf.Rules.HedgeQuantile, p.conf.Rules.HedgeBudget)}
	for _, id := range sorted {
		if t, ok := p.byID[id]; ok && len(s.targets) < maxReplicas {
			s.add(t)
		}
	}
	p.replicaSets[key] = s
	return s
}
