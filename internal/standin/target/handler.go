package target

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/targetapi"
)

const maxBodyBytes = 1 << 16

// Handler returns the HTTP handler of the target. The limit and the time cost of connections are
// implemented by the server, see NewServer.
func (t *Target) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+targetapi.PathShard, t.serveShard)
	mux.HandleFunc("GET "+targetapi.PathStatus, t.serveStatus)
	if t.cfg.Settles {
		mux.HandleFunc("POST "+targetapi.PathSettle+"/{id}/settle", t.serveSettle)
	}
	t.handleControl(mux)
	return mux
}

func (t *Target) serveShard(w http.ResponseWriter, r *http.Request) {
	drained, _ := t.drainState()
	t.counts.received(drained)
	// The whole body is read first because the server detects a disconnected client only after
	// that.
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		t.counts.ended("", ResultCancelled)
		panic(http.ErrAbortHandler)
	}
	req, err := readShardRequest(r.Header, body)
	if err != nil {
		t.counts.ended("", ResultBad)
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	out := t.run(r.Context(), req)
	t.counts.ended(req.Kind, out.result)
	writeReply(w, out)
}

func writeReply(w http.ResponseWriter, out reply) {
	if out.status == 0 {
		panic(http.ErrAbortHandler)
	}
	length := max(out.length, len(out.body))
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(length))
	w.WriteHeader(out.status)
	_, _ = w.Write(out.body) // the client may have disconnected
	if length > len(out.body) {
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

func readShardRequest(h http.Header, body []byte) (shardRequest, error) {
	req := shardRequest{
		requestID: h.Get(targetapi.HeaderRequest),
		attemptID: h.Get(targetapi.HeaderAttempt),
	}
	if err := json.Unmarshal(body, &req.Request); err != nil {
		return req, Error.New("body: %w", err)
	}
	if req.Kind != targetapi.KindSearch && req.Kind != targetapi.KindReserve {
		return req, Error.New("kind %q: want search or reserve", req.Kind)
	}
	if req.requestID == "" || req.attemptID == "" {
		return req, Error.New("%s or %s is missing", targetapi.HeaderRequest, targetapi.HeaderAttempt)
	}
	var err error
	if req.key, err = readShardKey(h); err != nil {
		return req, err
	}
	req.deadline, err = readDeadline(h, time.Now())
	return req, err
}

func readShardKey(h http.Header) (shardKey, error) {
	k := shardKey{service: h.Get(targetapi.HeaderService)}
	shard, err := strconv.ParseUint(h.Get(targetapi.HeaderShard), 10, 32)
	if err != nil {
		return k, Error.New("%s: %w", targetapi.HeaderShard, err)
	}
	k.shard = uint32(shard)
	k.snapshot, err = strconv.ParseUint(h.Get(targetapi.HeaderSnapshot), 10, 64)
	if err != nil {
		return k, Error.New("%s: %w", targetapi.HeaderSnapshot, err)
	}
	return k, nil
}

func readDeadline(h http.Header, arrived time.Time) (time.Time, error) {
	text := h.Get(targetapi.HeaderBudget)
	if text == "" {
		return time.Time{}, nil
	}
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return time.Time{}, Error.New("%s: %w", targetapi.HeaderBudget, err)
	}
	return arrived.Add(time.Duration(ms * float64(time.Millisecond))), nil
}

func (t *Target) serveStatus(w http.ResponseWriter, r *http.Request) {
	t.counts.update(func(c *Counters) { c.Statuses++ })
	for {
		f, changed := t.faultsInForce()
		if !f.FreezeStatus {
			break
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
	writeJSON(w, t.Status())
}

func (t *Target) serveSettle(w http.ResponseWriter, r *http.Request) {
	t.counts.update(func(c *Counters) { c.Settles++ })
	writeJSON(w, t.reservations.settle(r.PathValue("id")))
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // the client may have disconnected
}
