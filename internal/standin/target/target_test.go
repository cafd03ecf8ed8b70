package target

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/standin"
	"rhubarbwood.example/rhubarbwood/internal/targetapi"
)

const (
	testService = "guest-portal-01"
	testHost    = "target.test"
)

func testConfig() Config {
	c := DefaultConfig()
	c.ID = "t1"
	c.Incarnation = 1
	c.Services = map[string]Holdings{testService: {Shards: []uint32{0, 1}, Snapshots: []uint64{7}}}
	c.ServiceTime = standin.Latency{}
	c.Settles = true
	return c
}

// client sends requests to a target without a socket.
type client struct {
	http http.Client
	host string
}

func newClient(t *Target) *client {
	var tr standin.Transport
	tr.Handle(testHost, t.Handler())
	return &client{http.Client{Transport: &tr}, testHost}
}

// untilLimit ends a test whose condition never holds; no test asserts on it.
const untilLimit = 30 * time.Second

// until waits for the condition.
func until(t *testing.T, condition func() bool) {
	for limit := time.Now().Add(untilLimit); !condition(); {
		if time.Now().After(limit) {
			t.Fatal("the condition did not come")
		}
		time.Sleep(time.Millisecond)
	}
}

type sent struct {
	attempt  string
	shard    string
	snapshot string
	budgetMS string
	body     targetapi.Request
}

func search() sent {
	return sent{attempt: "a1", shard: "0", snapshot: "7", body: targetapi.Request{Kind: targetapi.KindSearch}}
}

func reserve(attempt string) sent {
	return sent{attempt: attempt, shard: "0", snapshot: "0", body: targetapi.Request{
		Kind: targetapi.KindReserve, ReservationID: "r1", Item: "pressure cooker",
	}}
}

// received is the outcome of a request. Depending on the status, exactly one of answer, rejection
// and err is set.
type received struct {
	status    int
	answer    targetapi.Answer
	rejection targetapi.Rejection
	err       error
}

func (c *client) send(ctx context.Context, s sent) received {
	body, _ := json.Marshal(s.body)
	r, _ := http.NewRequestWithContext(ctx, "POST", "http://"+c.host+targetapi.PathShard, strings.NewReader(string(body)))
	r.Header.Set(targetapi.HeaderRequest, "q1")
	r.Header.Set(targetapi.HeaderAttempt, s.attempt)
	r.Header.Set(targetapi.HeaderService, testService)
	r.Header.Set(targetapi.HeaderShard, s.shard)
	r.Header.Set(targetapi.HeaderSnapshot, s.snapshot)
	r.Header.Set(targetapi.HeaderBudget, s.budgetMS)
	resp, err := c.http.Do(r)
	if err != nil {
		return received{err: err}
	}
	defer resp.Body.Close()
	out := received{status: resp.StatusCode}
	d := json.NewDecoder(resp.Body)
	if resp.StatusCode == http.StatusOK {
		out.err = d.Decode(&out.answer)
	} else {
		out.err = d.Decode(&out.rejection)
		if out.rejection.AttemptID != s.attempt {
			out.rejection = targetapi.Rejection{Code: "of attempt " + out.rejection.AttemptID}
		}
	}
	return out
}

func TestSearchAnswersRowsOfItsSnapshot(t *testing.T) {
	is := is.New(t)
	tgt := New(testConfig())
	got := newClient(tgt).send(t.Context(), search())
	is.NoErr(got.err)
	is.Equal(got.answer.RequestID, "q1")
	is.Equal(got.answer.AttemptID, "a1")
	is.Equal(got.answer.Snapshot, uint64(7))
	is.Equal(got.answer.Rows, Rows(testService, 0, 7, defaultRowsPerShard, ""))
	is.Equal(got.answer.RowCount, defaultRowsPerShard)
	for _, row := range got.answer.Rows {
		is.True(strings.HasSuffix(row.Value, "(snapshot 7)"))
	}
}

func TestSearchLimitAndText(t *testing.T) {
	is := is.New(t)
	c := newClient(New(testConfig()))
	s := search()
	s.body.Text = "SNAPSHOT 7"
	s.body.Limit = 3
	got := c.send(t.Context(), s)
	is.NoErr(got.err)
	is.Equal(got.answer.RowCount, 3)
	is.Equal(got.answer.TotalRows, defaultRowsPerShard)
	s.body.Text = "no such title"
	is.Equal(c.send(t.Context(), s).answer.TotalRows, 0)
}

func TestSnapshotNotHeld(t *testing.T) {
	is := is.New(t)
	tgt := New(testConfig())
	c := newClient(tgt)
	tgt.AddSnapshot(testService, 8, 1)
	s := search()
	s.snapshot = "8"
	got := c.send(t.Context(), s) // shard 0 is on another target in snapshot 8
	is.Equal(got.status, http.StatusConflict)
	is.Equal(got.rejection.Code, targetapi.CodeSnapshotNotHeld)
	is.Equal(got.rejection.Snapshots, []uint64{7, 8})
	s.shard = "1"
	is.Equal(c.send(t.Context(), s).status, http.StatusOK)
	tgt.DropSnapshot(testService, 8)
	is.Equal(c.send(t.Context(), s).status, http.StatusConflict)
}

func TestReservationIsLoggedBeforeItsAnswer(t *testing.T) {
	is := is.New(t)
	cfg := testConfig()
	cfg.Stock = map[string]int{"pressure cooker": 1}
	tgt := New(cfg)
	c := newClient(tgt)
	is.True(c.send(t.Context(), reserve("a1")).answer.Granted)
	is.True(!c.send(t.Context(), reserve("a2")).answer.Granted) // out of stock, but executed
	log := tgt.Executions()
	is.Equal(len(log), 2)
	is.Equal(log[0], Execution{Target: "t1", Incarnation: 1, Service: testService, ReservationID: "r1", AttemptID: "a1",
		RequestID: "q1", Item: "pressure cooker", Granted: true})
}

func TestFaultsOfAnswers(t *testing.T) {
	tests := []struct {
		name   string
		faults Faults
		runs   int
		check  func(*is.I, received)
	}{
		{"cut", Faults{Cut: 1}, 1, func(is *is.I, r received) { is.True(r.err != nil) }},
		{"cut before", Faults{CutBefore: 1}, 0, func(is *is.I, r received) { is.True(r.err != nil) }},
		{"truncate", Faults{Truncate: 1}, 1, func(is *is.I, r received) { is.True(errors.Is(r.err, io.ErrUnexpectedEOF)) }},
		{"short json", Faults{ShortJSON: 1}, 1, func(is *is.I, r received) { is.True(r.err != nil) }},
		{"shed", Faults{Shed: 1}, 0, func(is *is.I, r received) {
			is.Equal(r.status, http.StatusServiceUnavailable)
			is.Equal(r.rejection.Code, targetapi.CodeShed)
			is.True(r.rejection.RetryAfterMS > 0)
		}},
		{"fail", Faults{Fail: 1}, 1, func(is *is.I, r received) {
			is.Equal(r.status, http.StatusInternalServerError)
			is.Equal(r.rejection.Code, targetapi.CodeFailed)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			tgt := New(testConfig())
			tgt.SetFaults(tt.faults)
			tt.check(is, newClient(tgt).send(t.Context(), reserve("a1")))
			is.Equal(len(tgt.Executions()), tt.runs)
		})
	}
}
