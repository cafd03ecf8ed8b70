package target

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
)

// Control paths of the stand-in. They are not subject to faults.
const (
	PathFaults     = "/standin/faults"     // GET, POST: Faults
	PathDrain      = "/standin/drain"      // POST: DrainRequest
	PathRestart    = "/standin/restart"    // POST
	PathSnapshots  = "/standin/snapshots"  // POST: SnapshotChange
	PathExecutions = "/standin/executions" // GET: []Execution
	PathCounters   = "/standin/counters"   // GET: Counters
)

// DrainRequest starts a drain. If Serve is set, the target continues to accept requests.
type DrainRequest struct {
	Serve bool `json:"serve,omitempty"`
}

// SnapshotChange adds a snapshot to a service, or drops one. Shards lists the shards held in the
// snapshot if they differ from the service's default.
type SnapshotChange struct {
	Service  string   `json:"service"`
	Snapshot uint64   `json:"snapshot"`
	Shards   []uint32 `json:"shards,omitempty"`
	Drop     bool     `json:"drop,omitempty"`
}

// controlHandler serves only the control paths. On a listener of its own they remain reachable
// when the target's connection limit is reached.
func (t *Target) controlHandler() http.Handler {
	mux := http.NewServeMux()
	t.handleControl(mux)
	return mux
}

func (t *Target) handleControl(mux *http.ServeMux) {
	mux.HandleFunc("GET "+PathExecutions, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, t.Executions()) })
	mux.HandleFunc("GET "+PathCounters, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, t.Counters()) })
	mux.HandleFunc("GET "+PathFaults, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, t.Faults()) })
	mux.HandleFunc("POST "+PathFaults, controlCall(func(f Faults) error {
		if err := f.Validate(); err != nil {
			return err
		}
		t.SetFaults(f)
		return nil
	}))
	mux.HandleFunc("POST "+PathDrain, controlCall(func(d DrainRequest) error {
		t.Drain(d.Serve)
		return nil
	}))
	mux.HandleFunc("POST "+PathRestart, controlCall(func(struct{}) error {
		t.Restart()
		return nil
	}))
	mux.HandleFunc("POST "+PathSnapshots, controlCall(t.changeSnapshot))
}

func (t *Target) changeSnapshot(c SnapshotChange) error {
	if !t.servesService(c.Service) {
		return Error.New("service %q is not served here", c.Service)
	}
	if c.Drop {
		t.DropSnapshot(c.Service, c.Snapshot)
		return nil
	}
	t.AddSnapshot(c.Service, c.Snapshot, c.Shards...)
	return nil
}

// controlCall decodes the JSON body of a control call, which may be empty, and reports only
// errors.
func controlCall[T any](do func(T) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var body T
		d := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes))
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
