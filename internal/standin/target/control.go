package target

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
)

// Paths of the stand-in itself. They take no faults.
const (
	PathFaults     = "/standin/faults"     // GET, POST: Faults
	PathDrain      = "/standin/drain"      // POST: DrainOrder
	PathRestart    = "/standin/restart"    // POST
	PathSnapshots  = "/standin/snapshots"  // POST: SnapshotChange
	PathExecutions = "/standin/executions" // GET: []Execution
	PathCounters   = "/standin/counters"   // GET: Counters
)

// DrainOrder begins a drain. If Serve is set requests are still taken.
type DrainOrder struct {
	Serve bool `json:"serve,omitempty"`
}

// SnapshotChange adds a snapshot to a service, or drops one. Shards is what
// the target holds in it, if that differs from the shards it holds in general.
type SnapshotChange struct {
	Service  string   `json:"service"`
	Snapshot uint64   `json:"snapshot"`
	Shards   []uint32 `json:"shards,omitempty"`
	Drop     bool     `json:"drop,omitempty"`
}

// controlHandler returns the stand-in's own paths alone. Served on a listener
// of their own, they stay reachable when all connections of the target are
// taken.
func (t *Target) controlHandler() http.Handler {
	mux := http.NewServeMux()
	t.handleControl(mux)
	return mux
}

func (t *Target) handleControl(mux *http.ServeMux) {
	mux.HandleFunc("GET "+PathExecutions, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, t.Executions()) })
	mux.HandleFunc("GET "+PathCounters, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, t.Counters()) })
	mux.HandleFunc("GET "+PathFaults, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, t.Faults()) })
	mux.HandleFunc("POST "+PathFaults, order(func(f Faults) error {
		if err := f.Validate(); err != nil {
			return err
		}
		t.SetFaults(f)
		return nil
	}))
	mux.HandleFunc("POST "+PathDrain, order(func(d DrainOrder) error {
		t.Drain(d.Serve)
		return nil
	}))
	mux.HandleFunc("POST "+PathRestart, order(func(struct{}) error {
		t.Restart()
		return nil
	}))
	mux.HandleFunc("POST "+PathSnapshots, order(t.changeSnapshot))
}

func (t *Target) changeSnapshot(c SnapshotChange) error {
	if !t.serves(c.Service) {
		return Error.New("service %q is not served here", c.Service)
	}
	if c.Drop {
		t.DropSnapshot(c.Service, c.Snapshot)
		return nil
	}
	t.AddSnapshot(c.Service, c.Snapshot, c.Shards...)
	return nil
}

// order wraps a control call: a JSON body, which may be empty, and no answer
// but an error.
func order[T any](do func(T) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var body T
		d := json.NewDecoder(io.LimitReader(r.Body, maxBody))
		d.DisallowUnknownFields()
		err := d.Decode(&body)
		if err == nil || errors.Is(err, io.EOF) {
			err = do(body)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}
}
