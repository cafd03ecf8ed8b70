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

var _ relay.Searcher = (*direct)(nil)

// direct is the comparison with every decision off: it sends each shard to a
// replica at random at once, with no limit, queue, hedge, health or budget of
// retries.
type direct struct {
	view     catalog.View
	http     *http.Client
	retries  int // to other replicas, at once, whatever the load
	attempts atomic.Int64
	first    atomic.Int64
}

// newDirect returns a searcher that holds up to a number of connections to a
// target; 0 is no limit.
func newDirect(view catalog.View, n network, connections, retries int) *direct {
	t := &http.Transport{MaxConnsPerHost: connections, MaxIdleConnsPerHost: idlePerHost, DialContext: n.dial}
	return &direct{view: view, http: &http.Client{Transport: t}, retries: retries}
}

func (d *direct) close() { d.http.CloseIdleConnections() }

// Search implements relay.Searcher.
func (d *direct) Search(ctx context.Context, b query.Batch, emit func(query.ShardResult)) error {
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

func (d *direct) shard(ctx context.Context, b query.Batch, key query.ShardKey) query.ShardResult {
	r := query.ShardResult{Key: key, Snapshot: b.Snapshot, Outcome: outcome.Unknown, Reason: query.ReasonConnection}
	addresses := d.addresses(key, b.Snapshot)
	first := rand.IntN(len(addresses))
	d.first.Add(1)
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

func (d *direct) addresses(key query.ShardKey, snapshot uint64) []string {
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

// send runs one attempt; the reason is empty if it was answered.
func (d *direct) send(ctx context.Context, b query.Batch, key query.ShardKey, address string) (int, query.Reason) {
	req, err := directRequest(ctx, b, key, address)
	if err != nil {
		return 0, query.ReasonBadRequest
	}
	resp, err := d.http.Do(req)
	if err != nil {
		return 0, query.ReasonConnection
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, largestReply))
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
		return nil, Error.New("make request: %w", err)
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
