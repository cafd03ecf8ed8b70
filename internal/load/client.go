package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/query"
)

const (
	pathSearch      = "/v1/search"
	headerRequestID = "X-Request-Id"
	headerCaller    = "X-Caller"
	headerBudget    = "X-Budget-Ms"

	responseMargin      = 2 * time.Second // a request without a response this long after its budget has failed
	maxIdleConnsPerHost = 256
	maxResponseBytes    = 16 << 20
)

// searchBody is the request body of a search.
type searchBody struct {
	Workload    string  `json:"workload,omitempty"`
	Service     string  `json:"service,omitempty"`
	Text        string  `json:"text"`
	Limit       int     `json:"limit"`
	MinCoverage float64 `json:"min_coverage"`
}

// searchResponse has the fields that the client uses of an answer or a refusal.
type searchResponse struct {
	RequestID string `json:"request_id"`
	Coverage  struct {
		Shards   int  `json:"shards"`
		Answered int  `json:"answered"`
		Complete bool `json:"complete"`
	} `json:"coverage"`
	Attempts int          `json:"attempts"`
	Needed   int          `json:"needed"`
	Reason   query.Reason `json:"reason"`
}

// client sends searches to the callers' API.
type client struct {
	cfg  Config
	http *http.Client
	body []byte
}

func newClient(c Config) *client {
	body, err := json.Marshal(searchBody{c.Workload, c.Service, c.Text, c.Limit, c.MinCoverage})
	if err != nil {
		panic(err) // fields of basic types always marshal
	}
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost}
	return &client{
		cfg:  c,
		body: body,
		http: &http.Client{Transport: transport, Timeout: c.Budget.Std() + responseMargin},
	}
}

func (c *client) close() { c.http.CloseIdleConnections() }

func (c *client) search(ctx context.Context, index int) result {
	id := requestID(c.cfg.Seed, index)
	reply, status, err := c.post(ctx, index, id)
	switch {
	case err != nil:
		return result{failed: true}
	case status != http.StatusOK:
		return result{reason: reply.Reason, failed: reply.Reason == ""}
	case reply.RequestID != id:
		return result{failed: true}
	}
	return result{
		answered: true,
		coverage: ratio(float64(reply.Coverage.Answered), float64(reply.Coverage.Shards)),
		attempts: reply.Attempts,
		needed:   reply.Needed,
	}
}

func (c *client) post(ctx context.Context, index int, id string) (searchResponse, int, error) {
	var reply searchResponse
	address := c.cfg.Addresses[index%len(c.cfg.Addresses)]
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+pathSearch, bytes.NewReader(c.body))
	if err != nil {
		return reply, 0, Error.New("create request: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(headerRequestID, id)
	req.Header.Set(headerCaller, c.cfg.Caller)
	req.Header.Set(headerBudget, strconv.FormatInt(c.cfg.Budget.Std().Milliseconds(), 10))
	resp, err := c.http.Do(req)
	if err != nil {
		return reply, 0, Error.New("send search to %s: %w", address, err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return reply, 0, Error.New("read response of %s: %w", address, err)
	}
	if err := json.Unmarshal(raw, &reply); err != nil {
		return reply, 0, Error.New("decode response of %s: %w", address, err)
	}
	return reply, resp.StatusCode, nil
}

// requestID returns the id of a request. Runs with the same seed use the same
// ids, so that hosts rank their requests in the same order.
func requestID(seed uint64, index int) string { return fmt.Sprintf("load-%d-%d", seed, index) }
