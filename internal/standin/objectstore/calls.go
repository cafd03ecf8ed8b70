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

func (s *Store) serveGet(r *http.Request, _ []byte) response {
	o, ok := s.object(objectKey(r))
	if !ok {
		return errorResponse(http.StatusNotFound, "no such object")
	}
	return response{http.StatusOK, o}
}

func (s *Store) serveList(r *http.Request, _ []byte) response {
	return response{http.StatusOK, s.listPage(r.PathValue("kind"), r.URL.Query().Get("after"))}
}

func (s *Store) serveCreate(r *http.Request, body []byte) response {
	o, refusal := readObject(body)
	if refusal != nil {
		return *refusal
	}
	if o.Meta.Name == "" {
		return errorResponse(http.StatusBadRequest, "meta.name is missing")
	}
	k := key{r.PathValue("kind"), o.Meta.Name}
	return s.write(func() (platform.Object, int) { return s.create(k, o.Spec) })
}

func (s *Store) serveReplace(r *http.Request, body []byte) response {
	o, refusal := readObject(body)
	if refusal != nil {
		return *refusal
	}
	return s.write(func() (platform.Object, int) { return s.replace(objectKey(r), o.Meta.Revision, o.Spec) })
}

// serveReplaceStatus writes only the status: a spec and finalizers in the body are ignored.
func (s *Store) serveReplaceStatus(r *http.Request, body []byte) response {
	o, refusal := readObject(body)
	if refusal != nil {
		return *refusal
	}
	return s.write(func() (platform.Object, int) { return s.replaceStatus(objectKey(r), o.Meta.Revision, o.Status) })
}

func (s *Store) serveDelete(r *http.Request, _ []byte) response {
	revision, err := optionalRevision(r.URL.Query().Get("revision"))
	if err != nil {
		return errorResponse(http.StatusBadRequest, "revision must be a number")
	}
	return s.write(func() (platform.Object, int) { return s.remove(objectKey(r), revision) })
}

// readObject decodes the object of a write, or returns the error response.
func readObject(body []byte) (platform.Object, *response) {
	var o platform.Object
	if err := json.Unmarshal(body, &o); err != nil {
		a := errorResponse(http.StatusBadRequest, "body is not an object: "+err.Error())
		return o, &a
	}
	if len(o.Spec) > maxSpecBytes || len(o.Status) > maxSpecBytes {
		a := errorResponse(http.StatusRequestEntityTooLarge, "value too large")
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

// write applies a write with the injected write faults. Once begun, the write is applied even if
// the client disconnects.
func (s *Store) write(apply func() (platform.Object, int)) response {
	late, lost := s.drawWriteFaults()
	if late {
		time.Sleep(s.Faults().LateDelay.Std())
	}
	o, status := apply()
	switch {
	case lost:
		return connectionCut
	case status == http.StatusNotFound:
		return errorResponse(status, "no such object")
	}
	return response{status, o}
}

func (s *Store) serveWatch(r *http.Request, _ []byte) response {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("watch"), 10, 64)
	if err != nil {
		return errorResponse(http.StatusBadRequest, "watch must be a revision")
	}
	waitMS, err := optionalRevision(q.Get("waitMs"))
	if err != nil {
		return errorResponse(http.StatusBadRequest, "waitMs must be milliseconds")
	}
	wait := min(time.Duration(waitMS)*time.Millisecond, maxWatchWait)
	return s.watch(r.Context(), r.RemoteAddr, after, wait, r.PathValue("kind"))
}

func (s *Store) watch(ctx context.Context, from string, after uint64, wait time.Duration, kind string) response {
	s.counts.addWaitingWatches(1)
	defer s.counts.addWaitingWatches(-1)
	released := s.watchesEndedSignal()
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for era := s.Era(); ; {
		a, faultsChanged, down := s.waitOutage(ctx, from)
		if down {
			return a
		}
		if s.Era() != era {
			return connectionCut // the store was restored while the watch was pending
		}
		events, changed, ok := s.changesSince(after, kind)
		if !ok {
			return errorResponse(http.StatusGone, "changes since that revision are gone")
		}
		if s.Faults().DeafWatches {
			events = platform.ObjectEvents{Events: []platform.ObjectEvent{}, CurrentRev: after}
		}
		if len(events.Events) > 0 {
			return response{http.StatusOK, events}
		}
		select {
		case <-changed:
		case <-faultsChanged:
		case <-released:
			return response{http.StatusOK, events}
		case <-timeout.C:
			return response{http.StatusOK, events}
		case <-ctx.Done():
			return connectionCut
		}
	}
}

// watchesEndedSignal returns a channel that is closed when pending watches must end.
func (s *Store) watchesEndedSignal() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watchesEnded
}

// endWatches answers all pending watches as if their wait had expired.
func (s *Store) endWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.watchesEnded)
	s.watchesEnded = make(chan struct{})
}
