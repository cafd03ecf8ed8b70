//go:build review

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store, with the calls that PROTOCOL.md names.
type store struct {
	address string

	mu       sync.Mutex
	changed  chan struct{}
	revision uint64
	objects  map[string]*object // by kind/name
	events   []storedEvent
	dropped  uint64 // revision up to which the history is gone
}

// historyKept is how long changes are kept for watches: historyS.
const historyKept = 20 * time.Second

type objectMeta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	CreatedRev uint64   `json:"createdRev"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Meta   objectMeta      `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type storedEvent struct {
	Kind    string `json:"-"`
	At      uint64 `json:"-"`
	when    time.Time
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

func newStore() (*store, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: ln.Addr().String(), changed: make(chan struct{}), revision: 1, objects: map[string]*object{}}
	go func() { _ = http.Serve(ln, s) }()
	return s, nil
}

// put writes an object as the operator or a backend does, and returns the revision.
func (s *store) put(kind, name string, spec any) uint64 {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind+"/"+name]
	if o == nil {
		o = &object{Meta: objectMeta{Name: name, CreatedRev: s.revision + 1, Finalizers: []string{}}, Status: json.RawMessage("null")}
	}
	changed := *o
	changed.Spec = raw
	s.save(kind, changed)
	return s.revision
}

// remove deletes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.objects[kind+"/"+name]; o != nil {
		s.drop(kind, *o)
	}
}

// save and drop expect the lock.
func (s *store) save(kind string, o object) {
	s.revision++
	o.Meta.Revision = s.revision
	s.objects[kind+"/"+o.Meta.Name] = &o
	s.note(storedEvent{Kind: kind, At: s.revision, Object: o})
}

func (s *store) drop(kind string, o object) {
	s.revision++
	delete(s.objects, kind+"/"+o.Meta.Name)
	s.note(storedEvent{Kind: kind, At: s.revision, Object: o, Deleted: true})
}

func (s *store) note(e storedEvent) {
	e.when = time.Now()
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/api/objects/"), "/")
	kind, name := parts[0], ""
	if len(parts) > 1 {
		name = parts[1]
	}
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		defer s.mu.Unlock()
		if o := s.objects[kind+"/"+name]; o != nil {
			answer(w, 200, o)
			return
		}
		answer(w, 404, map[string]string{})
	default:
		s.write(w, r, kind, name, len(parts) > 2)
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []*object{}
	for key, o := range s.objects {
		if strings.HasPrefix(key, kind+"/") && o.Meta.Name > r.URL.Query().Get("after") {
			items = append(items, o)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Meta.Name < items[j].Meta.Name })
	more := len(items) > 500
	answer(w, 200, map[string]any{"items": items[:min(len(items), 500)], "hasMore": more, "currentRev": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timer := time.After(time.Duration(min(ms, 30_000)) * time.Millisecond)
	for {
		s.mu.Lock()
		for len(s.events) > 0 && time.Since(s.events[0].when) > historyKept {
			s.dropped, s.events = s.events[0].At, s.events[1:]
		}
		if after < s.dropped {
			s.mu.Unlock()
			answer(w, 410, map[string]string{})
			return
		}
		events := []storedEvent{}
		for _, e := range s.events {
			if e.Kind == kind && e.At > after {
				events = append(events, e)
			}
		}
		current, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, 200, map[string]any{"events": events, "currentRev": current})
			return
		}
		select {
		case <-changed:
		case <-timer:
			answer(w, 200, map[string]any{"events": events, "currentRev": current})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string, status bool) {
	var in object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			answer(w, 400, map[string]string{"error": err.Error()})
			return
		}
	}
	if name == "" {
		name = in.Meta.Name
	}
	condition := in.Meta.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		condition, _ = strconv.ParseUint(text, 10, 64)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind+"/"+name]
	switch {
	case r.Method == http.MethodPost && o != nil:
		answer(w, 409, o)
		return
	case r.Method == http.MethodPost:
		s.save(kind, object{Meta: objectMeta{Name: name, CreatedRev: s.revision + 1, Finalizers: []string{}}, Spec: in.Spec, Status: json.RawMessage("null")})
		answer(w, 200, s.objects[kind+"/"+name])
		return
	case o == nil:
		answer(w, 404, map[string]string{})
		return
	case condition != 0 && condition != o.Meta.Revision:
		answer(w, 409, o)
		return
	case r.Method == http.MethodDelete:
		s.drop(kind, *o)
		answer(w, 200, o)
		return
	}
	changed := *o
	if status {
		changed.Status = in.Status
	} else {
		changed.Spec = in.Spec
	}
	s.save(kind, changed)
	answer(w, 200, s.objects[kind+"/"+name])
}

func answer(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}
