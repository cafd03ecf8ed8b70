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

// Control paths of the stand-in. They are not counted and not subject to faults.
const (
	PathFaults   = "/standin/faults"   // GET, POST: Faults
	PathCounters = "/standin/counters" // GET: Counters
	PathRestore  = "/standin/restore"  // POST: RestoreDrill
)

// pathObjects is the path prefix of the platform's object API.
const pathObjects = "/api/objects/"

const (
	maxWatchWait = 5 * time.Minute
	maxSpecBytes = 1 << 20               // of a spec
	maxBodyBytes = maxSpecBytes + 64<<10 // spec and metadata
)

// response is the outcome of one call. Status zero cuts the connection.
type response struct {
	status int
	body   any // nil: no body
}

var connectionCut = response{}

type errorBody struct {
	Error string `json:"error"`
}

func errorResponse(status int, text string) response { return response{status, errorBody{text}} }

type operation func(r *http.Request, body []byte) response

// Handler returns the HTTP handler of the object API and the control paths.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	kind := pathObjects + "{kind}"
	object := kind + "/{name...}"
	mux.HandleFunc("GET "+kind, s.instrumented(s.listOrWatch))
	mux.HandleFunc("POST "+kind, s.instrumented(s.fixedVerb(VerbPut, s.serveCreate)))
	mux.HandleFunc("GET "+object, s.instrumented(s.fixedVerb(VerbGet, s.serveGet)))
	mux.HandleFunc("PUT "+object, s.instrumented(s.fixedVerb(VerbPut, s.serveReplace)))
	mux.HandleFunc("PUT "+kind+"/{name}/status", s.instrumented(s.fixedVerb(VerbPut, s.serveReplaceStatus)))
	mux.HandleFunc("DELETE "+object, s.instrumented(s.fixedVerb(VerbDelete, s.serveDelete)))
	s.handleControl(mux)
	return s.withPlatformHeaders(mux)
}

// withPlatformHeaders sets the platform's clock and the era on every response.
func (s *Store) withPlatformHeaders(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.setPlatformHeaders(w)
		next.ServeHTTP(w, r)
	})
}

func (s *Store) setPlatformHeaders(w http.ResponseWriter) {
	w.Header()["Date"] = nil // suppress the server's own Date header
	if !s.cfg.NoClock {
		w.Header().Set("Date", s.Now().Format(http.TimeFormat))
	}
	if !s.cfg.NoEra {
		w.Header().Set(platform.HeaderStoreEra, strconv.FormatUint(s.Era(), 10))
	}
}

// operationSelector returns the verb of a request and the function that serves it.
type operationSelector func(r *http.Request) (Verb, operation)

// fixedVerb returns a selector for requests that always have the same verb.
func (s *Store) fixedVerb(v Verb, c operation) operationSelector {
	return func(*http.Request) (Verb, operation) { return v, c }
}

// listOrWatch selects between list and watch by the query parameters.
func (s *Store) listOrWatch(r *http.Request) (Verb, operation) {
	if r.URL.Query().Has("watch") {
		return VerbWatch, s.serveWatch
	}
	return VerbList, s.serveList
}

// limiterFor returns the rate limiter that applies to a verb.
func (s *Store) limiterFor(v Verb) *rate.Limiter {
	if v == VerbPut || v == VerbDelete {
		return s.writes
	}
	return s.reads
}

// instrumented wraps an operation of the object API with counters, rate limits and the faults that
// apply to every call.
func (s *Store) instrumented(choose operationSelector) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		v, c := choose(r)
		s.counts.countCall(v)
		// The body is read first because the server detects a disconnected client only after the
		// body has been read.
		body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
		a := errorResponse(http.StatusBadRequest, "body cannot be read")
		if err == nil {
			a = s.run(r, s.limiterFor(v), body, c)
		}
		s.writeResponse(w, r, v, a)
	}
}

func (s *Store) run(r *http.Request, limit *rate.Limiter, body []byte, c operation) response {
	if !s.waitLatency(r.Context()) {
		return connectionCut
	}
	if a, _, down := s.waitOutage(r.Context(), r.RemoteAddr); down {
		return a
	}
	if limit != nil && !limit.Allow() {
		return errorResponse(http.StatusTooManyRequests, "rate limit reached")
	}
	return c(r, body)
}

// waitLatency sleeps for the injected latency. It returns false if the client disconnects.
func (s *Store) waitLatency(ctx context.Context) bool {
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

// waitOutage applies the current outage. It returns true and the response if the outage ends the
// call, else false and a channel that is closed when the faults change.
func (s *Store) waitOutage(ctx context.Context, from string) (response, <-chan struct{}, bool) {
	for {
		outage, changed := s.outage(from)
		switch outage {
		case OutageUnavailable:
			return errorResponse(http.StatusServiceUnavailable, "outage"), nil, true
		case OutageCut:
			return connectionCut, nil, true
		case OutageHang:
			select {
			case <-changed:
			case <-ctx.Done():
				return connectionCut, nil, true
			}
		default:
			return response{}, changed, false
		}
	}
}

// writeResponse counts the result and writes the response, or cuts the connection.
func (s *Store) writeResponse(w http.ResponseWriter, r *http.Request, v Verb, a response) {
	switch {
	case r.Context().Err() != nil:
		s.counts.countResult(v, ResultGone)
	case a.status == 0:
		s.counts.countResult(v, ResultCut)
	default:
		s.counts.countResult(v, statusResult(a.status))
	}
	if a.status == 0 {
		panic(http.ErrAbortHandler)
	}
	s.setPlatformHeaders(w) // set again, as the time and era may have changed during a watch
	if a.status == http.StatusTooManyRequests || a.status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	writeJSON(w, a.status, a.body)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body) // the client may have disconnected
	}
}
