package objectstore

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"golang.org/x/time/rate"

	"rhubarbwood.example/rhubarbwood/platform"
)

// Paths of the stand-in itself. They are not counted and take no faults.
const (
	PathFaults   = "/standin/faults"   // GET, POST: Faults
	PathCounters = "/standin/counters" // GET: Counters
	PathRestore  = "/standin/restore"  // POST: Drill
)

// pathObjects is the path of the object API, as the platform's page has it.
const pathObjects = "/api/objects/"

const (
	maxWatchWait = 5 * time.Minute
	maxValue     = 1 << 20           // bytes of a spec
	maxBody      = maxValue + 64<<10 // the spec and its metadata
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
	kind := pathObjects + "{kind}"
	object := kind + "/{name...}"
	mux.HandleFunc("GET "+kind, s.counted(s.listOrWatch))
	mux.HandleFunc("POST "+kind, s.counted(s.as(VerbPut, s.serveCreate)))
	mux.HandleFunc("GET "+object, s.counted(s.as(VerbGet, s.serveGet)))
	mux.HandleFunc("PUT "+object, s.counted(s.as(VerbPut, s.serveReplace)))
	mux.HandleFunc("DELETE "+object, s.counted(s.as(VerbDelete, s.serveDelete)))
	s.handleControl(mux)
	return s.timed(mux)
}

// timed puts the platform's clock and the era on every answer.
func (s *Store) timed(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.stamp(w)
		next.ServeHTTP(w, r)
	})
}

func (s *Store) stamp(w http.ResponseWriter) {
	w.Header()["Date"] = nil // the server would tell this machine's time
	if !s.cfg.NoClock {
		w.Header().Set("Date", s.Now().Format(http.TimeFormat))
	}
	if !s.cfg.NoEra {
		w.Header().Set(platform.HeaderStoreEra, strconv.FormatUint(s.Era(), 10))
	}
}

// choice tells which verb a request is and who serves it.
type choice func(r *http.Request) (Verb, call)

// as is the choice of requests that are always the same verb.
func (s *Store) as(v Verb, c call) choice {
	return func(*http.Request) (Verb, call) { return v, c }
}

// listOrWatch tells the two apart by the query.
func (s *Store) listOrWatch(r *http.Request) (Verb, call) {
	if r.URL.Query().Has("watch") {
		return VerbWatch, s.serveWatch
	}
	return VerbList, s.serveList
}

// limit returns the rate that a verb counts against.
func (s *Store) limit(v Verb) *rate.Limiter {
	if v == VerbPut || v == VerbDelete {
		return s.writes
	}
	return s.reads
}

// counted wraps a call of the object API: it counts, limits the rate, and
// brings about the faults that concern every call.
func (s *Store) counted(choose choice) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		v, c := choose(r)
		s.counts.arrived(v)
		// The body is read first, because the server notices a client that has
		// gone only once the body has been read.
		body, err := io.ReadAll(io.LimitReader(r.Body, maxBody+1))
		a := refuse(http.StatusBadRequest, "body cannot be read")
		if err == nil {
			a = s.run(r, s.limit(v), body, c)
		}
		s.finish(w, r, v, a)
	}
}

func (s *Store) run(r *http.Request, limit *rate.Limiter, body []byte, c call) answer {
	if !s.delay(r.Context()) {
		return cut
	}
	if a, _, down := s.waitOutage(r.Context(), r.RemoteAddr); down {
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
func (s *Store) waitOutage(ctx context.Context, from string) (answer, <-chan struct{}, bool) {
	for {
		outage, changed := s.outage(from)
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
