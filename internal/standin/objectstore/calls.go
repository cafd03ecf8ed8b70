package objectstore

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"rhubarbwood.example/rhubarbwood/platform"
)

func objectKey(r *http.Request) key { return key{r.PathValue("kind"), r.PathValue("name")} }

func (s *Store) serveGet(r *http.Request, _ []byte) answer {
	o, ok := s.record(objectKey(r))
	if !ok {
		return refuse(http.StatusNotFound, "no such object")
	}
	return answer{http.StatusOK, o}
}

func (s *Store) serveList(r *http.Request, _ []byte) answer {
	return answer{http.StatusOK, s.page(r.PathValue("kind"), r.URL.Query().Get("after"))}
}

func (s *Store) serveCreate(r *http.Request, body []byte) answer {
	o, refusal := readObject(body)
	if refusal != nil {
		return *refusal
	}
	if o.Meta.Name == "" {
		return refuse(http.StatusBadRequest, "meta.name is missing")
	}
	k := key{r.PathValue("kind"), o.Meta.Name}
	return s.write(func() (platform.Object, int) { return s.create(k, o.Spec) })
}

func (s *Store) serveReplace(r *http.Request, body []byte) answer {
	o, refusal := readObject(body)
	if refusal != nil {
		return *refusal
	}
	return s.write(func() (platform.Object, int) { return s.replace(objectKey(r), o.Meta.Revision, o.Spec) })
}

func (s *Store) serveDelete(r *http.Request, _ []byte) answer {
	revision, err := optionalRevision(r.URL.Query().Get("revision"))
	if err != nil {
		return refuse(http.StatusBadRequest, "revision must be a number")
	}
	return s.write(func() (platform.Object, int) { return s.remove(objectKey(r), revision) })
}

// readObject reads the object of a write, or returns why it can't.
func readObject(body []byte) (platform.Object, *answer) {
	var o platform.Object
	if err := json.Unmarshal(body, &o); err != nil {
		a := refuse(http.StatusBadRequest, "body is not an object: "+err.Error())
		return o, &a
	}
	if len(o.Spec) > maxValue {
		a := refuse(http.StatusRequestEntityTooLarge, "value too large")
		return o, &a
	}
	return o, nil
}

func optionalRevision(text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	return strconv.ParseUint(text, 10, 64)
}

// write applies a write with the faults that concern writes. The write does
// not hang on the client: once it has begun, it is applied.
func (s *Store) write(apply func() (platform.Object, int)) answer {
	late, lost := s.writeFaults()
	if late {
		time.Sleep(s.Faults().LateDelay.Std())
	}
	o, status := apply()
	switch {
	case lost:
		return cut
	case status == http.StatusNotFound:
		return refuse(status, "no such object")
	}
	return answer{status, o}
}

func (s *Store) serveWatch(r *http.Request, _ []byte) answer {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("watch"), 10, 64)
	if err != nil {
		return refuse(http.StatusBadRequest, "watch must be a revision")
	}
	waitMS, err := optionalRevision(q.Get("waitMs"))
	if err != nil {
		return refuse(http.StatusBadRequest, "waitMs must be milliseconds")
	}
	wait := min(time.Duration(waitMS)*time.Millisecond, maxWatchWait)
	return s.watch(r.Context(), r.RemoteAddr, after, wait, r.PathValue("kind"))
}

func (s *Store) watch(ctx context.Context, from string, after uint64, wait time.Duration, kind string) answer {
	s.counts.waiting(1)
	defer s.counts.waiting(-1)
	released := s.released()
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for era := s.Era(); ; {
		a, faultsChanged, down := s.waitOutage(ctx, from)
		if down {
			return a
		}
		if s.Era() != era {
			return cut // the store that this watch asked is gone
		}
		events, changed, ok := s.since(after, kind)
		if !ok {
			return refuse(http.StatusGone, "changes since that revision are gone")
		}
		if s.Faults().DeafWatches {
			events = platform.ObjectEvents{Events: []platform.ObjectEvent{}, CurrentRev: after}
		}
		if len(events.Events) > 0 {
			return answer{http.StatusOK, events}
		}
		select {
		case <-changed:
		case <-faultsChanged:
		case <-released:
			return answer{http.StatusOK, events}
		case <-timeout.C:
			return answer{http.StatusOK, events}
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
