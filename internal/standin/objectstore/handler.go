package objectstore

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"rhubarbwood.example/rhubarbwood/internal/platform"
)

// Paths of the stand-in itself. They are not counted and take no faults.
const (
	PathFaults   = "/standin/faults"   // GET, POST: Faults
	PathHosts    = "/standin/hosts"    // POST: HostChange
	PathCounters = "/standin/counters" // GET: Counters
)

const (
	maxWatchWait = 5 * time.Minute
	maxBody      = platform.MaxValue
)

// answer is what one call ends with. A zero status means that the connection
// is cut.
type answer struct {
	status int
	body   any // nil: none
}

var cut = answer{}

type problem struct {
	Error string `json:"error"`
}

func refuse(status int, text string) answer { return answer{status, problem{text}} }

type call func(r *http.Request, body []byte) answer

// Handler returns the HTTP interface of the store.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	object := platform.PathObjects + "/{kind}/{name...}"
	mux.HandleFunc("GET "+platform.PathObjects, s.counted(VerbList, s.reads, s.serveList))
	mux.HandleFunc("GET "+object, s.counted(VerbGet, s.reads, s.serveGet))
	mux.HandleFunc("PUT "+object, s.counted(VerbPut, s.writes, s.servePut))
	mux.HandleFunc("DELETE "+object, s.counted(VerbDelete, s.writes, s.serveDelete))
	mux.HandleFunc("GET "+platform.PathWatch, s.counted(VerbWatch, s.reads, s.serveWatch))
	mux.HandleFunc("GET "+platform.PathHosts, s.counted(VerbHosts, s.reads, s.serveHosts))
	s.handleControl(mux)
	return s.timed(mux)
}

// timed puts the platform's clock on every answer.
func (s *Store) timed(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.stamp(w)
		next.ServeHTTP(w, r)
	})
}

func (s *Store) stamp(w http.ResponseWriter) {
	w.Header().Set(platform.HeaderTime, s.Now().Format(time.RFC3339Nano))
}

// counted wraps a call of the object API: it counts, limits the rate, and
// brings about the faults that concern every call.
func (s *Store) counted(v Verb, limit *rate.Limiter, c call) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.counts.arrived(v)
		// The body is read first, because the server notices a client that has
		// gone only once the body has been read.
		body, err := io.ReadAll(io.LimitReader(r.Body, maxBody+1))
		a := refuse(http.StatusBadRequest, "body cannot be read")
		if err == nil {
			a = s.run(r, limit, body, c)
		}
		s.finish(w, r, v, a)
	}
}

func (s *Store) run(r *http.Request, limit *rate.Limiter, body []byte, c call) answer {
	if !s.delay(r.Context()) {
		return cut
	}
	if a, _, down := s.waitOutage(r.Context()); down {
		return a
	}
	if limit != nil && !limit.Allow() {
		return refuse(http.StatusTooManyRequests, "rate limit reached")
	}
	return c(r, body)
}

// delay waits for the latency in force. It reports false if the client went.
func (s *Store) delay(ctx context.Context) bool {
	d := s.rng.Draw(s.Faults().Latency)
	if d <= 0 {
		return true
	}
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// waitOutage returns the answer of a call that the outage ends, or false once
// there is no outage, and then a channel that closes when the faults change.
func (s *Store) waitOutage(ctx context.Context) (answer, <-chan struct{}, bool) {
	for {
		outage, changed := s.outage()
		switch outage {
		case OutageUnavailable:
			return refuse(http.StatusServiceUnavailable, "outage"), nil, true
		case OutageCut:
			return cut, nil, true
		case OutageHang:
			select {
			case <-changed:
			case <-ctx.Done():
				return cut, nil, true
			}
		default:
			return answer{}, changed, false
		}
	}
}

// finish counts the answer and writes it, or cuts the connection.
func (s *Store) finish(w http.ResponseWriter, r *http.Request, v Verb, a answer) {
	switch {
	case r.Context().Err() != nil:
		s.counts.ended(v, ResultGone)
	case a.status == 0:
		s.counts.ended(v, ResultCut)
	default:
		s.counts.ended(v, statusResult(a.status))
	}
	if a.status == 0 {
		panic(http.ErrAbortHandler)
	}
	s.stamp(w) // anew, because a watch may have waited
	if a.status == http.StatusTooManyRequests || a.status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	writeJSON(w, a.status, a.body)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body) // the client may have gone
	}
}
