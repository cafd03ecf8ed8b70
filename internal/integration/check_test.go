package integration

import (
	"pgregory.net/rapid"

	"rhubarbwood.example/rhubarbwood/internal/catalog"
	"rhubarbwood.example/rhubarbwood/internal/query"
	"rhubarbwood.example/rhubarbwood/internal/standin/target"
)

// rowID identifies a row of one shard in one snapshot.
type rowID struct {
	shard      query.ShardKey
	key, value string
}

// check compares an answer with the rows that each shard has in the answer's snapshot.
func check(rt *rapid.T, h *history, o searchOutcome) {
	if o.took > searchBudget {
		rt.Fatalf("took %v of a budget of %v", o.took, searchBudget)
	}
	if (o.answer == nil) == (o.refusal == nil) {
		rt.Fatalf("answer %v and refusal %v", o.answer, o.refusal)
	}
	if o.answer == nil {
		return
	}
	snap := h.snapshots[o.answer.Snapshot-firstSnapshot]
	got := make(map[rowID]bool)
	for _, r := range o.answer.Rows {
		id := rowID{query.ShardKey{Service: r.Service, Shard: r.Shard}, r.Key, r.Value}
		if got[id] {
			rt.Fatalf("row %v occurs twice", id)
		}
		got[id] = true
	}
	missing := make(map[query.ShardKey]bool)
	for _, k := range o.answer.Coverage.Missing {
		missing[k] = true
	}
	shards, rows := checkShardRows(rt, snap, missing, got)
	if len(got) != rows {
		rt.Fatalf("%d rows of other snapshots or shards in an answer from %d", len(got)-rows, snap.ID)
	}
	c := o.answer.Coverage
	if c.Shards != shards || c.Answered != shards-len(missing) || c.Complete() != (len(missing) == 0) {
		rt.Fatalf("coverage %+v of %d shards", c, shards)
	}
	if c.Fraction() < o.search.q.MinCoverage || o.answer.RequestID != o.search.q.RequestID {
		rt.Fatalf("coverage %+v for request %+v, answer to %s", c, o.search.q, o.answer.RequestID)
	}
}

// checkShardRows checks that every shard that isn't reported missing has exactly its rows in the
// snapshot, and returns the number of shards and of expected rows.
func checkShardRows(rt *rapid.T, snap catalog.Snapshot, missing map[query.ShardKey]bool, got map[rowID]bool) (shards, rows int) {
	for service, m := range snap.Services {
		for shard := range m.Shards {
			shards++
			k := query.ShardKey{Service: service, Shard: uint32(shard)}
			if missing[k] {
				continue
			}
			for _, r := range target.Rows(service, k.Shard, snap.ID, rowsPerShard, "") {
				rows++
				if !got[rowID{k, r.Key, r.Value}] {
					rt.Fatalf("shard %s is reported as answered in snapshot %d, but lacks row %s", k, snap.ID, r.Key)
				}
			}
		}
	}
	return shards, rows
}
