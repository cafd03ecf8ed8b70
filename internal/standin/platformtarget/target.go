package platformtarget

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/standin"
	"rhubarbwood.example/rhubarbwood/platform"
)

// pathHealth is the path of the health check.
const pathHealth = "/healthz"

// recordBytes is the size of one record in a response.
const recordBytes = 16

// Config is the configuration of a stand-in.
type Config struct {
	ID      string
	Service string
	Version string // of its software, as registered
	Slots   int    // maximum number of concurrent requests
	Queue   int    // maximum number of waiting requests; further ones are rejected
	Records int    // in each response
	Latency standin.Latency
	Seed    uint64
	Born    time.Time // start of this incarnation; zero: not registered
	// Cold is the duration of the cold phase after the start.
	Cold time.Duration
	// Pause is the duration of a pause without progress, like a garbage collection, that begins
	// every PauseEvery.
	Pause      time.Duration
	PauseEvery time.Duration
	// ReportLoad adds the load header to each response.
	ReportLoad bool
	// WorkFactor returns the factor on the duration of a request's work; nil: 1 for all.
	WorkFactor func(*http.Request) float64
}

// Faults are the injected faults. Probabilities are drawn for each request.
type Faults struct {
	Slow     float64 // factor on the duration of a request; 0 and 1: none
	Silent   bool    // requests never finish
	Fail     float64 // request runs and returns status 500
	Shed     float64 // request is rejected as not run
	ShedCut  bool    // the body of a rejection is truncated
	Lose     float64 // request runs, then the connection is cut without a response
	Cut      float64 // response body is truncated
	Extra    float64 // response is sent twice
	Unframed float64 // response has no length and ends with the connection
	Impostor bool    // another target answers at the address
}

// Run is one request that the target ran.
type Run struct {
	RequestID string
	Method    string
	URI       string
	Body      string
	Budget    time.Duration // remaining time that the request was given; 0: no bound
	Began     time.Time
	Cancelled bool // the caller disconnected, or the target was stopped, before the end
	Stopped   bool // the target was stopped before the end
	// Ended is when it was answered; the zero time if it runs or was cancelled. Bad is set if the answer was made a failure
	// or late by the target's Badness.
	Ended time.Time
	Bad   bool
}

// Target is a stand-in. All methods are safe for concurrent use.
type Target struct {
	cfg        Config
	pauseEpoch time.Time // start of the first pause
	createdAt  time.Time
	stopped    chan struct{} // closed by Stop
	stopOnce   sync.Once
	rng        *standin.Rand
	slots      chan struct{}

	mu       sync.Mutex
	waiting  int
	faults   Faults
	badness  Badness
	runs     []*Run
	received int
	cold     coldState

	healthCheckHangs atomic.Bool
}

// HangHealthCheck sets whether health checks hang.
func (t *Target) HangHealthCheck(silent bool) { t.healthCheckHangs.Store(silent) }

// New returns a stand-in without faults.
func New(cfg Config) *Target {
	cfg.Slots = max(cfg.Slots, 1)
	t := &Target{cfg: cfg, pauseEpoch: time.Now(), createdAt: time.Now(), stopped: make(chan struct{}), rng: standin.NewRand(cfg.Seed), slots: make(chan struct{}, cfg.Slots)}
	t.StartColdPhase(cfg.Cold)
	return t
}

// SetFaults replaces all current faults.
func (t *Target) SetFaults(f Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// Runs returns the requests that the target ran.
func (t *Target) Runs() []Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]Run, 0, len(t.runs))
	for _, r := range t.runs {
		all = append(all, *r)
	}
	return all
}

// Received returns the number of received requests, including rejected ones.
func (t *Target) Received() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.received
}

// Registration returns the target's entry for the registry.
func (t *Target) Registration(address, domain string) platform.Registration {
	r := platform.Registration{
		Service: t.cfg.Service, Address: address, Zone: domain, Version: t.cfg.Version,
		MaxConcurrency: t.cfg.Slots, State: platform.StateReady, ColdLeftMs: t.remainingColdTime().Milliseconds(),
	}
	if !t.cfg.Born.IsZero() {
		r.Born = t.cfg.Born.UnixMilli()
	}
	return r
}

// ServeHTTP handles one request.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if t.isStopped() {
		panic(http.ErrAbortHandler)
	}
	t.mu.Lock()
	f := t.faults
	t.received++
	t.mu.Unlock()
	h := w.Header()
	t.setLoadHeader(h, f)
	id := r.Header.Get(platform.HeaderRequestID)
	if id != "" && r.URL.Path != pathHealth {
		h.Set(platform.HeaderRequestID, id)
	}
	switch want := r.Header.Get(platform.HeaderInstance); {
	case r.URL.Path == pathHealth:
		if t.healthCheckHangs.Load() {
			<-r.Context().Done()
			return
		}
		h.Set("X-Instance-Id", t.cfg.ID)
		t.setWarmupHeader(h)
		return
	case f.Impostor, want != "" && want != t.cfg.ID:
		h.Set("X-Instance-Id", "another")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		refuseNotRun(w, http.StatusBadRequest)
		return
	}
	t.countColdRequest()
	if t.rng.Chance(f.Shed) || !t.acquireSlot(r.Context()) {
		if t.isStopped() {
			panic(http.ErrAbortHandler)
		}
		if f.ShedCut {
			h.Set("Content-Length", "10") // longer than the body, so that the connection is cut
		}
		refuseNotRun(w, http.StatusServiceUnavailable)
		return
	}
	defer func() { <-t.slots }()
	t.run(w, r, f, string(body))
}

func refuseNotRun(w http.ResponseWriter, status int) {
	w.Header().Set(platform.HeaderNotRun, "1")
	w.WriteHeader(status)
}

// acquireSlot takes a slot, waiting in the queue if it isn't full. It returns false if the request
// must be shed.
func (t *Target) acquireSlot(ctx context.Context) bool {
	select {
	case t.slots <- struct{}{}:
		return true
	default:
	}
	t.mu.Lock()
	full := t.waiting >= t.cfg.Queue
	if !full {
		t.waiting++
	}
	t.mu.Unlock()
	if full {
		return false
	}
	defer func() {
		t.mu.Lock()
		t.waiting--
		t.mu.Unlock()
	}()
	select {
	case t.slots <- struct{}{}:
		return true
	case <-t.stopped:
		return false
	case <-ctx.Done():
		return false
	}
}

// run executes a request and writes the response.
func (t *Target) run(w http.ResponseWriter, r *http.Request, f Faults, body string) {
	left, _ := strconv.ParseFloat(r.Header.Get(platform.HeaderDeadline), 64)
	run := &Run{
		RequestID: r.Header.Get(platform.HeaderRequestID), Method: r.Method, URI: r.RequestURI, Body: body,
		Budget: time.Duration(left * float64(time.Millisecond)), Began: time.Now(),
	}
	t.mu.Lock()
	t.runs = append(t.runs, run)
	t.mu.Unlock()
	slowFactor, fails := t.drawBadness(r)
	f.Slow = max(f.Slow, 1) * slowFactor
	ended := t.work(r, f, run.Budget)
	if ended == workCancelled {
		t.mu.Lock()
		run.Cancelled, run.Stopped = true, t.isStopped()
		t.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	t.noteEnd(run, fails || slowFactor > 1)
	h := w.Header()
	h.Set(platform.HeaderSignature, Signature(t.cfg.Service, run.RequestID))
	switch {
	case ended == workDeadlineExceeded:
		w.WriteHeader(http.StatusGatewayTimeout)
	case fails, t.rng.Chance(f.Fail):
		w.WriteHeader(http.StatusInternalServerError)
	case t.rng.Chance(f.Lose):
		panic(http.ErrAbortHandler)
	case t.rng.Chance(f.Cut):
		t.writeRaw(w, run.RequestID, "Content-Length: %d\r\n", 1)
	case t.rng.Chance(f.Extra):
		t.writeRaw(w, run.RequestID, "Content-Length: %d\r\n", 0)
	case t.rng.Chance(f.Unframed):
		t.writeRaw(w, run.RequestID, "", 0)
	default:
		_, _ = w.Write(Body(t.cfg.Service, run.RequestID, t.cfg.Records)) // the caller may have disconnected
	}
}

// workResult is the reason why the work on a request ended.
type workResult uint8

const (
	workDone workResult = iota
	workCancelled
	workDeadlineExceeded
)

// work simulates the work on a request, bounded by the remaining time; 0: no bound.
func (t *Target) work(r *http.Request, f Faults, left time.Duration) workResult {
	duration := time.Duration(math.MaxInt64)
	if !f.Silent {
		factor := max(f.Slow, 1)
		if t.cfg.WorkFactor != nil {
			factor *= t.cfg.WorkFactor(r)
		}
		duration = t.durationWithPauses(time.Duration(float64(t.rng.Draw(t.cfg.Latency)) * factor))
	}
	end := workDone
	if left > 0 && duration > left && !f.Silent {
		duration, end = left, workDeadlineExceeded
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return end
	case <-t.stopped:
		return workCancelled
	case <-r.Context().Done():
		return workCancelled
	}
}

// writeRaw writes the response on the hijacked connection and closes it. It leaves out the last
// omittedBytes bytes; a complete response with a length is written twice.
func (t *Target) writeRaw(w http.ResponseWriter, requestID, lengthHeader string, omittedBytes int) {
	conn, buffered, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }()
	body := Body(t.cfg.Service, requestID, t.cfg.Records)
	if lengthHeader != "" {
		lengthHeader = fmt.Sprintf(lengthHeader, len(body))
	}
	answer := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n%s\r\n%s",
		platform.HeaderRequestID, requestID, platform.HeaderSignature, Signature(t.cfg.Service, requestID),
		lengthHeader, body[:len(body)-omittedBytes])
	times := 1
	if lengthHeader != "" && omittedBytes == 0 {
		times = 2
	}
	for range times {
		_, _ = buffered.WriteString(answer) // the caller may have disconnected
	}
	_ = buffered.Flush()
}

// Signature returns the signature of a service's response to a request.
func Signature(service, requestID string) string { return service + "." + requestID }

// Body returns the body of a service's response to a request: unsorted records.
func Body(service, requestID string, records int) []byte {
	var b bytes.Buffer
	for i := range records {
		sum := sha256.Sum256(fmt.Appendf(nil, "%s/%s/%d", service, requestID, i))
		b.Write(sum[:recordBytes])
	}
	return b.Bytes()
}
