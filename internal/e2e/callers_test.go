package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"

	"rhubarbwood.example/rhubarbwood/internal/standin/fixture"
)

const (
	callerTimeout  = 2 * time.Second
	maxRetryWait   = 200 * time.Millisecond // upper limit on the retry delay that a response asks for
	callerBudgetMS = "800"
)

// startSiteWith is like startSite with a limit on the relays of each service, so that hosts
// forward requests to one another.
func startSiteWith(t *testing.T, hosts, relays int) *site {
	t.Helper()
	s := &site{dir: t.TempDir(), stopLag: "800ms"}
	addresses := s.startTargets(t)
	layout := fixture.Demo(fixture.Options{Address: func(id string) string { return addresses[id] }})
	for i := range layout.Services {
		layout.Services[i].Rules.Relays = relays
	}
	s.domains = layout.Domains
	s.platformAddress = s.startPlatform(t, layout.Seeds())
	for i := range hosts {
		s.hosts = append(s.hosts, s.startHost(t, i, s.domains[i%len(s.domains)], s.platformAddress))
	}
	for _, h := range s.hosts {
		h.untilReady(t, hosts)
	}
	return s
}

// replaceHost starts a new process in place of one that has ended.
func (s *site) replaceHost(t *testing.T, i int) *host {
	t.Helper()
	return s.startHost(t, i, s.domains[i%len(s.domains)], s.platformAddress)
}

// postControl posts to a control path of a stand-in.
func postControl(t *testing.T, address, path string, body any) {
	t.Helper()
	text, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.Post("http://"+address+path, "application/json", bytes.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		t.Fatalf("%s%s: %s", address, path, resp.Status)
	}
}

// balancer simulates the platform's load balancer: it sends callers to the hosts that were ready
// one lag ago.
type balancer struct {
	lag  time.Duration
	stop chan struct{}
	wg   sync.WaitGroup

	mu    sync.Mutex
	hosts []*host
	ready []string // callers' addresses of the hosts that were ready one lag ago
	next  int
}

const balancerPoll = 20 * time.Millisecond

func newBalancer(lag time.Duration, hosts []*host) *balancer {
	b := &balancer{lag: lag, stop: make(chan struct{}), hosts: slices.Clone(hosts)}
	b.ready = b.poll()
	b.wg.Go(b.run)
	return b
}

// run polls the readiness of the hosts and delays the results by the lag.
func (b *balancer) run() {
	queue := make([][]string, b.lag/balancerPoll)
	for i := range queue {
		queue[i] = b.ready
	}
	tick := time.NewTicker(balancerPoll)
	defer tick.Stop()
	for {
		select {
		case <-b.stop:
			return
		case <-tick.C:
		}
		queue = append(queue, b.poll())
		b.mu.Lock()
		b.ready = queue[0]
		b.mu.Unlock()
		queue = queue[1:]
	}
}

func (b *balancer) poll() []string {
	b.mu.Lock()
	hosts := slices.Clone(b.hosts)
	b.mu.Unlock()
	var ready []string
	for _, h := range hosts {
		if h.status("/readyz") == http.StatusOK {
			ready = append(ready, h.callers)
		}
	}
	return ready
}

// add adds a host to the balancer.
func (b *balancer) add(h *host) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hosts = append(b.hosts, h)
}

// routesTo reports whether the balancer sends callers to the host.
func (b *balancer) routesTo(h *host) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Contains(b.ready, h.callers)
}

func (b *balancer) pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return ""
	}
	b.next++
	return b.ready[b.next%len(b.ready)]
}

func (b *balancer) close() {
	close(b.stop)
	b.wg.Wait()
}

// callerResult is the response to one request of a caller.
type callerResult struct {
	requestID     string
	reservationID string
	host          string // address of the host that received the request
	status        int    // 0: no response
	err           error
	NotRun        bool   `json:"not_run"`
	Granted       bool   `json:"granted"`
	Reason        string `json:"reason"`
	RetryAfterMS  int    `json:"retry_after_ms"`
	Answer        string `json:"answer"`
	Coverage      struct {
		Shards   int  `json:"shards"`
		Answered int  `json:"answered"`
		Complete bool `json:"complete"`
	} `json:"coverage"`
	Rows []struct {
		Service string `json:"service"`
		Shard   uint32 `json:"shard"`
	} `json:"rows"`
}

// callers sends requests from several workers until finish is called, and keeps the responses.
type callers struct {
	name     string // part of each request ID, to make the IDs unique
	pick     func() string
	client   *http.Client
	done     atomic.Bool
	wg       sync.WaitGroup
	id       atomic.Int64
	answered atomic.Int64 // number of answered requests

	mu      sync.Mutex
	results []callerResult
}

func newCallers(pick func() string) *callers {
	return &callers{name: ulid.Make().String(), pick: pick, client: &http.Client{Timeout: callerTimeout}}
}

// run starts workers that call do repeatedly.
func (c *callers) run(workers int, do func()) {
	for range workers {
		c.wg.Go(func() {
			for !c.done.Load() {
				do()
			}
		})
	}
}

// finish stops the workers after their current request and returns the responses.
func (c *callers) finish() []callerResult {
	c.done.Store(true)
	c.wg.Wait()
	return c.results
}

// waitForAnswers waits until that many more requests have been answered.
func (c *callers) waitForAnswers(t *testing.T, more int64) {
	t.Helper()
	want := c.answered.Load() + more
	waitUntil(t, fmt.Sprint(more, " more requests answered"), func() bool { return c.answered.Load() >= want })
}

func (c *callers) search() {
	c.post("/v1/search", "", `{"workload": "guest-portal", "limit": 0}`)
}

// reserve makes one reservation: it repeats the request, at the host that pick returns, until it is
// answered, six times at most.
func (c *callers) reserve() {
	id := ulid.Make().String()
	for range 6 {
		r := c.reserveOnce(id)
		if r.status == http.StatusOK || c.done.Load() {
			return
		}
		time.Sleep(min(time.Duration(r.RetryAfterMS)*time.Millisecond, maxRetryWait))
	}
}

func (c *callers) reserveOnce(id string) callerResult {
	return c.post("/v1/reservations", id, `{"reservation_id": "`+id+`", "service": "reservation-desk", "item": "pressure-cooker"}`)
}

func (c *callers) post(path, reservationID, body string) callerResult {
	result := callerResult{requestID: fmt.Sprint(c.name, "-", c.id.Add(1)), reservationID: reservationID, host: c.pick()}
	result.send(c.client, path, body)
	if result.status == http.StatusOK {
		c.answered.Add(1)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, result)
	return result
}

func (r *callerResult) send(client *http.Client, path, body string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+r.host+path, strings.NewReader(body))
	if err != nil {
		r.err = err
		return
	}
	req.Header.Set("X-Request-Id", r.requestID)
	req.Header.Set("X-Caller", "shop-1")
	req.Header.Set("X-Budget-Ms", callerBudgetMS)
	resp, err := client.Do(req)
	if err != nil {
		r.err = err
		return
	}
	defer resp.Body.Close()
	if r.err = json.NewDecoder(resp.Body).Decode(r); r.err == nil {
		r.status = resp.StatusCode
	}
}
