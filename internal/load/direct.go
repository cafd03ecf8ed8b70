package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/catalog"
	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/query"
	"rhubarbwood.example/rhubarbwood/internal/relay"
	"rhubarbwood.example/rhubarbwood/internal/targetapi"
)

var _ relay.Searcher = (*directSearcher)(nil)

// directSearcher is the baseline without the policies of a relay: it sends each
// shard request immediately to a random replica, without concurrency limits,
// queues, hedging, health checks or a retry budget.
type directSearcher struct {
	view          catalog.View
	http          *http.Client
	retries       int // to other replicas, without delay and independent of the load
	attempts      atomic.Int64
	firstAttempts atomic.Int64
}

// newDirectSearcher returns a searcher with at most the given number of
// connections to each target; 0 means no limit.
func newDirectSearcher(view catalog.View, n network, connections, retries int) *directSearcher {
	t := &http.Transport{MaxConnsPerHost: connections, MaxIdleConnsPerHost: maxIdleConnsPerHost, DialContext: n.dial}
	return &directSearcher{view: view, http: &http.Client{Transport: t}, retries: retries}
}

func (d *directSearcher) close() { d.http.CloseIdleConnections() }

// Search implements relay.Searcher.
func (d *directSearcher) Search(ctx context.Context, b query.Batch, emit func(query.ShardResult)) error {
	ctx, cancel := context.WithTimeout(ctx, b.Budget)
	defer cancel()
	var mu sync.Mutex
	var all sync.WaitGroup
	for _, p := range b.Parts {
		for _, shard := range p.Shards {
			all.Go(func() {
				r := d.shard(ctx, b, query.ShardKey{Service: p.Service, Shard: shard})
				mu.Lock()
				defer mu.Unlock()
				emit(r)
			})
		}
	}
	all.Wait()
	return nil
}

func (d *directSearcher) shard(ctx context.Context, b query.Batch, key query.ShardKey) query.ShardResult {
	r := query.ShardResult{Key: key, Snapshot: b.Snapshot, Outcome: outcome.Unknown, Reason: query.ReasonConnection}
	addresses := d.addresses(key, b.Snapshot)
	first := rand.IntN(len(addresses))
	d.firstAttempts.Add(1)
	for try := 0; try <= d.retries && ctx.Err() == nil; try++ {
		d.attempts.Add(1)
		r.Attempts++
		rows, reason := d.send(ctx, b, key, addresses[(first+try)%len(addresses)])
		r.Reason = reason
		if reason == "" {
			r.Outcome, r.TotalRows = outcome.Done, rows
			return r
		}
	}
	return r
}

func (d *directSearcher) addresses(key query.ShardKey, snapshot uint64) []string {
	s, _ := d.view.Service(key.Service)
	var out []string
	for _, snap := range d.view.Snapshots(s.Workload) {
		if snap.ID != snapshot {
			continue
		}
		for _, id := range snap.Services[key.Service].Shards[key.Shard] {
			out = append(out, addressOf(s, id))
		}
	}
	return out
}

func addressOf(s catalog.Service, id string) string {
	for _, t := range s.Targets {
		if t.ID == id {
			return t.Address
		}
	}
	return ""
}

// send runs one attempt and returns the number of rows. The reason is empty if
// the target answered.
func (d *directSearcher) send(ctx context.Context, b query.Batch, key query.ShardKey, address string) (int, query.Reason) {
	req, err := directRequest(ctx, b, key, address)
	if err != nil {
		return 0, query.ReasonBadRequest
	}
	resp, err := d.http.Do(req)
	if err != nil {
		return 0, query.ReasonConnection
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	switch {
	case err != nil:
		return 0, query.ReasonBadAnswer
	case resp.StatusCode == http.StatusServiceUnavailable:
		return 0, query.ReasonOverload
	case resp.StatusCode != http.StatusOK:
		return 0, query.ReasonTargetFailed
	}
	var a targetapi.Answer
	if json.Unmarshal(raw, &a) != nil {
		return 0, query.ReasonBadAnswer
	}
	return a.TotalRows, ""
}

func directRequest(ctx context.Context, b query.Batch, key query.ShardKey, address string) (*http.Request, error) {
	body, err := json.Marshal(targetapi.Request{Kind: targetapi.KindSearch, Text: b.Text, Limit: b.Limit})
	if err != nil {
		return nil, Error.New("encode request: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+targetapi.PathShard, bytes.NewReader(body))
	if err != nil {
		return nil, Error.New("create request: %w", err)
	}
	budget := b.Budget
	if at, ok := ctx.Deadline(); ok {
		budget = time.Until(at)
	}
	req.Header.Set(targetapi.HeaderRequest, b.RequestID)
	req.Header.Set(targetapi.HeaderAttempt, fmt.Sprintf("%s-%s-%x", b.RequestID, key, rand.Uint32()))
	req.Header.Set(targetapi.HeaderService, key.Service)
	req.Header.Set(targetapi.HeaderShard, strconv.FormatUint(uint64(key.Shard), 10))
	req.Header.Set(targetapi.HeaderSnapshot, strconv.FormatUint(b.Snapshot, 10))
	req.Header.Set(targetapi.HeaderBudget, strconv.FormatInt(budget.Milliseconds(), 10))
	return req, nil
}
