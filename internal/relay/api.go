// Package relay runs shard requests against the targets assigned to this
// host: connections, queue, hedges, retries, health and cancellation. Replica
// choice, hedging and retry for a service happen here and nowhere else.
package relay

import (
	"context"

	"rhubarbwood.example/rhubarbwood/internal/query"
)

// Searcher runs the shards of a batch. It calls emit once for each shard of
// the batch, one call at a time, as soon as the shard's result is final, and
// returns when all are. A shard that was given up on is emitted at once. An
// error means that the relay was lost: shards not emitted by then have the
// outcome Unknown.
type Searcher interface {
	Search(ctx context.Context, b query.Batch, emit func(query.ShardResult)) error
}
