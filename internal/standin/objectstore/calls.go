package objectstore

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/platform"
)

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
	released := s.released()
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		a, faultsChanged, down := s.waitOutage(ctx)
		if down {
			return a
		}
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
		case <-released:
			return answer{http.StatusOK, l}
		case <-timeout.C:
			return answer{http.StatusOK, l}
		case <-ctx.Done():
			return cut
		}
	}
}

// released returns a channel that closes when waiting watches are to end.
func (s *Store) released() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.release
}

// endWatches answers all watches that wait, as if their time were over.
func (s *Store) endWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.release)
	s.release = make(chan struct{})
}
