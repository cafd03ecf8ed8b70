package objectstore

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
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
	maxWatchWait  = 5 * time.Minute
	maxBody       = platform.MaxValue
	shutdownLimit = time.Second
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
	return mux
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
	if a, down := s.passOutage(r.Context()); down {
		return a
	}
	if limit != nil && !limit.Allow() {
		return refuse(http.StatusTooManyRequests, "rate limit reached")
	}
	return c(r, body)
}

// delay waits for the latency in force. It reports false if the client went.
func (s *Store) delay(ctx context.Context) bool {
	d := s.dice.Draw(s.Faults().Latency)
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

// passOutage returns the answer of a call that the outage ends, and false
// once there is none.
func (s *Store) passOutage(ctx context.Context) (answer, bool) {
	for {
		outage, changed := s.outage()
		switch outage {
		case OutageUnavailable:
			return refuse(http.StatusServiceUnavailable, "outage"), true
		case OutageCut:
			return cut, true
		case OutageHang:
			select {
			case <-changed:
			case <-ctx.Done():
				return cut, true
			}
		default:
			return answer{}, false
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
	w.Header().Set(platform.HeaderTime, s.Now().Format(time.RFC3339Nano))
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

func objectKey(r *http.Request) key { return key{r.PathValue("kind"), r.PathValue("name")} }

func (s *Store) serveGet(r *http.Request, _ []byte) answer {
	k := objectKey(r)
	o, ok := s.Object(k.kind, k.name)
	if !ok {
		return refuse(http.StatusNotFound, "no such object")
	}
	return answer{http.StatusOK, o}
}

func (s *Store) serveList(r *http.Request, _ []byte) answer {
	return answer{http.StatusOK, s.list(r.URL.Query()["kind"])}
}

func (s *Store) serveHosts(*http.Request, []byte) answer {
	return answer{http.StatusOK, s.Hosts()}
}

func (s *Store) servePut(r *http.Request, body []byte) answer {
	version, err := ifVersion(r)
	switch {
	case err != nil:
		return refuse(http.StatusBadRequest, platform.HeaderIfVersion+" must be a version")
	case len(body) > platform.MaxValue:
		return refuse(http.StatusRequestEntityTooLarge, "value too large")
	case !json.Valid(body):
		return refuse(http.StatusBadRequest, "value is not JSON")
	}
	return s.write(func() (platform.Object, bool) { return s.put(objectKey(r), version, body) })
}

func (s *Store) serveDelete(r *http.Request, _ []byte) answer {
	version, err := ifVersion(r)
	if err != nil {
		return refuse(http.StatusBadRequest, platform.HeaderIfVersion+" must be a version")
	}
	return s.write(func() (platform.Object, bool) { return s.remove(objectKey(r), version) })
}

func ifVersion(r *http.Request) (uint64, error) {
	return strconv.ParseUint(r.Header.Get(platform.HeaderIfVersion), 10, 64)
}

// write applies a write with the faults that concern writes. The write does
// not hang on the client: once it has begun, it is applied.
func (s *Store) write(apply func() (platform.Object, bool)) answer {
	late, lost := s.writeFaults()
	if late {
		time.Sleep(s.Faults().LateDelay.Std())
	}
	o, ok := apply()
	if lost {
		return cut
	}
	if !ok {
		return answer{http.StatusConflict, o}
	}
	return answer{http.StatusOK, o}
}

func (s *Store) serveWatch(r *http.Request, _ []byte) answer {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		return refuse(http.StatusBadRequest, "after must be a revision")
	}
	waitMS, err := strconv.ParseUint(q.Get("wait_ms"), 10, 32)
	if err != nil {
		return refuse(http.StatusBadRequest, "wait_ms must be milliseconds")
	}
	wait := min(time.Duration(waitMS)*time.Millisecond, maxWatchWait)
	return s.watch(r.Context(), after, wait, q["kind"])
}

func (s *Store) watch(ctx context.Context, after uint64, wait time.Duration, kinds []string) answer {
	s.counts.waiting(1)
	defer s.counts.waiting(-1)
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		if a, down := s.passOutage(ctx); down {
			return a
		}
		_, faultsChanged := s.outage()
		l, changed, ok := s.since(after, kinds)
		if !ok {
			return refuse(http.StatusGone, "changes since that revision are gone")
		}
		if len(l.Objects) > 0 {
			return answer{http.StatusOK, l}
		}
		select {
		case <-changed:
		case <-faultsChanged:
		case <-timeout.C:
			return answer{http.StatusOK, l}
		case <-ctx.Done():
			return cut
		}
	}
}

func (s *Store) handleControl(mux *http.ServeMux) {
	mux.HandleFunc("GET "+PathFaults, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.Faults())
	})
	mux.HandleFunc("POST "+PathFaults, func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if err := errors.Join(readStrict(r, &f), f.Validate()); err != nil {
			writeJSON(w, http.StatusBadRequest, problem{err.Error()})
			return
		}
		s.SetFaults(f)
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("POST "+PathHosts, func(w http.ResponseWriter, r *http.Request) {
		var c HostChange
		if err := readStrict(r, &c); err != nil || c.ID == "" {
			writeJSON(w, http.StatusBadRequest, problem{"want id, address, leaving, gone"})
			return
		}
		s.changeHost(hostChange{host: c.LiveHost, gone: c.Gone})
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET "+PathCounters, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.Counters())
	})
}

func readStrict(r *http.Request, v any) error {
	d := json.NewDecoder(io.LimitReader(r.Body, maxBody))
	d.DisallowUnknownFields()
	return d.Decode(v)
}

// Server serves a store on a listener.
type Server struct{ http http.Server }

// NewServer returns a server for the store.
func NewServer(s *Store) *Server {
	return &Server{http: http.Server{Handler: s.Handler(), ReadHeaderTimeout: 10 * time.Second}}
}

// Serve answers calls until Shutdown; it then returns nil.
func (s *Server) Serve(ln net.Listener) error {
	if err := s.http.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return Error.New("serve: %w", err)
	}
	return nil
}

// Shutdown takes no more calls and lets those in flight end for a moment;
// watches that wait longer are cut.
func (s *Server) Shutdown(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, shutdownLimit)
	defer cancel()
	if err := s.http.Shutdown(ctx); err == nil {
		return nil
	}
	return Error.Wrap(s.http.Close())
}
