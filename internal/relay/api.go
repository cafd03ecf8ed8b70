package relay

import (
	"context"

	"rhubarbwood.example/rhubarbwood/internal/query"
)

// Searcher runs the shards of a batch. It calls emit exactly once per shard,
// never concurrently, as soon as the result of the shard is final, and returns
// once every shard was emitted. Shards that fail early are emitted early. An
// error means that the relay was lost: shards not emitted by then have the
// outcome Unknown.
type Searcher interface {
	Search(ctx context.Context, b query.Batch, emit func(query.ShardResult)) error
}
