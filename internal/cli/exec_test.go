package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"rhubarbwood.example/rhubarbwood/internal/api"
	"rhubarbwood.example/rhubarbwood/internal/event"
	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/query"
)

const token = "sixteen-letters-or-more"

// fakeHost serves both APIs, returns the configured results and records the
// requests.
type fakeHost struct {
	search      query.SearchRequest
	reserve     query.ReserveRequest
	statement   string
	dryRun      bool
	answer      *query.Answer
	reservation query.Reservation
	result      api.Result
	refusal     *query.Refusal
	calls       int
}

func (f *fakeHost) Search(_ context.Context, q query.SearchRequest) (*query.Answer, *query.Refusal) {
	f.calls++
	f.search = q
	return f.answer, f.refusal
}

func (f *fakeHost) Reserve(_ context.Context, r query.ReserveRequest) (query.Reservation, *query.Refusal) {
	f.calls++
	f.reserve = r
	f.reservation.ReservationID = r.ReservationID
	return f.reservation, f.refusal
}

func (f *fakeHost) Execute(_ context.Context, _, statement string, dryRun bool) (api.Result, error) {
	f.calls++
	f.statement, f.dryRun = statement, dryRun
	if f.refusal != nil {
		return api.Result{}, f.refusal
	}
	return f.result, nil
}

func (f *fakeHost) Ready() error  { return nil }
func (f *fakeHost) Leaving() bool { return false }

// serve starts both APIs and returns the exec command line that calls them.
func (f *fakeHost) serve(t *testing.T) []string {
	t.Helper()
	cfg, log := api.DefaultConfig(), event.Discard()
	operators := []api.Operator{{Name: "on-call", Token: token}}
	callers := api.NewCallerServer(cfg, "127.0.0.1:0", f, f, log)
	operate := api.NewOperatorServer(cfg, "127.0.0.1:0", operators, f, f, prometheus.NewRegistry(), log)
	for _, s := range []*api.Server{callers, operate} {
		if err := s.Start(t.Context()); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = s.Stop(context.Background()) })
	}
	return []string{"exec", "--entry", callers.Addr(), "--operators", operate.Addr(), "--token", token}
}

type commandResult struct {
	code     int
	out, err string
}

func run(in string, args ...string) commandResult {
	var out, errs bytes.Buffer
	code := Run(Env{In: strings.NewReader(in), Out: &out, Err: &errs}, args)
	return commandResult{code, out.String(), errs.String()}
}

func (f *fakeHost) exec(t *testing.T, args ...string) commandResult {
	t.Helper()
	return run("", append(f.serve(t), args...)...)
}

func partialAnswer() *query.Answer {
	return &query.Answer{
		RequestID: "r1", Workload: "guest-portal", Snapshot: 7, TotalRows: 9,
		Rows:     []query.Row{{Service: "guest-portal-01", Shard: 2, Key: "k", Value: "pressure cooker", Score: 0.5}},
		Coverage: query.Coverage{Shards: 3, Answered: 2, Missing: []query.ShardKey{{Service: "guest-portal-02", Shard: 1}}},
		Attempts: 4, NeededAnswers: 3, Elapsed: 1500 * time.Microsecond,
	}
}

func TestSearchText(t *testing.T) {
	is := is.New(t)
	f := &fakeHost{answer: partialAnswer()}
	r := f.exec(t, "--request-id", "r1", `search workload guest-portal "cooker" limit 5 min coverage 0.5 budget 250ms`)
	is.Equal(r.err, "")
	is.Equal(r.code, ExitOK)
	is.Equal(r.out, `SCORE  KEY  VALUE            SERVICE          SHARD
0.500  k    pressure cooker  guest-portal-01  2
1 of 9 rows found, coverage 2 of 3 shards: PARTIAL, missing guest-portal-02/1
snapshot 7 of workload guest-portal, 4 attempts for 3 shards, 1.5 ms, request r1
`)
	is.Equal(f.search, query.SearchRequest{
		RequestID: "r1", Caller: "exec", Workload: "guest-portal", Text: "cooker", Limit: 5,
		MinCoverage: 0.5, Budget: 250 * time.Millisecond,
	})
}

func TestSearchWantsCompleteCoverageByDefault(t *testing.T) {
	is := is.New(t)
	f := &fakeHost{answer: partialAnswer()}
	is.Equal(f.exec(t, `search service guest-portal-01 ""`).code, ExitOK)
	is.Equal(f.search.MinCoverage, 1.0)
}

// A zero given in the statement must not be replaced by the default of the API.
func TestSearchAsksForAllRowsAndAnyCoverage(t *testing.T) {
	is := is.New(t)
	f := &fakeHost{answer: partialAnswer()}
	is.Equal(f.exec(t, `search service guest-portal-01 "" min coverage 0`).code, ExitOK)
	is.Equal(f.search.MinCoverage, 0.0)
	is.Equal(f.search.Limit, 0)
}

func TestSearchJSON(t *testing.T) {
	is := is.New(t)
	r := (&fakeHost{answer: partialAnswer()}).exec(t, "--output", "json", `search workload guest-portal "x"`)
	var got struct {
		Coverage struct {
			Complete bool
			Missing  []string
		}
	}
	is.NoErr(json.Unmarshal([]byte(r.out), &got))
	is.True(!got.Coverage.Complete)
	is.Equal(got.Coverage.Missing, []string{"guest-portal-02/1"})
}

func TestRefusalsAndExitCodes(t *testing.T) {
	const reserve, search = `reserve "cooker" in reservation-desk id 01JE2GXZ5T0000000000000000`, `search workload w "x"`
	tests := map[string]struct {
		statement string
		refusal   query.Refusal
		code      int
		wantText  string
	}{
		"reservation not run": {reserve, query.Refusal{Reason: query.ReasonOverload, Outcome: outcome.Rejected, RetryAfter: time.Second}, ExitFailed, "did not run; retry after 1s; reservation id 01JE2GXZ5T0000000000000000"},
		"reservation failed":  {reserve, query.Refusal{Reason: query.ReasonTargetFailed, Outcome: outcome.Failed}, ExitFailed, "ran without success"},
		"reservation unknown": {reserve, query.Refusal{Reason: query.ReasonUnsettled, Outcome: outcome.Unknown}, ExitUnknown, "may have run"},
		"search that may have run": {search, query.Refusal{Reason: query.ReasonBudget, Outcome: outcome.Unknown, Coverage: &query.Coverage{Shards: 2, Answered: 1, Missing: []query.ShardKey{{Service: "s", Shard: 0}}}},
			ExitFailed, "coverage 1 of 2 shards: PARTIAL, missing s/0"},
		"change not made": {`drop service s at version 3`, query.Refusal{Reason: query.ReasonConflict, Outcome: outcome.Rejected, Detail: "stands at version 4"}, ExitFailed, "stands at version 4; did not run"},
		"change unknown":  {`drop service s at version 3`, query.Refusal{Reason: query.ReasonPlatform, Outcome: outcome.Unknown}, ExitUnknown, "may have run"},
	}
	for name, test := range tests {
		for _, output := range []string{"text", "json"} {
			t.Run(name+"/"+output, func(t *testing.T) {
				is := is.New(t)
				r := (&fakeHost{refusal: &test.refusal}).exec(t, "--output", output, test.statement)
				is.Equal(r.code, test.code)
				if output == "text" {
					is.Equal(r.out, "")
					is.True(strings.Contains(r.err, test.wantText))
					return
				}
				var got struct{ Reason string }
				is.NoErr(json.Unmarshal([]byte(r.out), &got))
				is.Equal(got.Reason, string(test.refusal.Reason))
			})
		}
	}
}

func TestStatementsGoToOperators(t *testing.T) {
	is := is.New(t)
	f := &fakeHost{result: api.Result{Columns: []string{"host", "state"}, Rows: [][]string{{"a", "alive"}}, Message: "1 host"}}
	r := f.exec(t, `dry run drop service s at version 3`)
	is.Equal(r.code, ExitOK)
	is.Equal(r.out, "HOST  STATE\na     alive\n1 host\n")
	is.Equal(f.statement, "drop service s at version 3")
	is.True(f.dryRun)
}

func TestWrongTokenIsRefused(t *testing.T) {
	is := is.New(t)
	f := &fakeHost{}
	r := f.exec(t, "--token", "wrong", "show hosts")
	is.Equal(r.code, ExitFailed)
	is.True(strings.Contains(r.err, "no valid operator token"))
	is.Equal(f.calls, 0)
}

func TestNothingIsSentIfOneStatementIsWrong(t *testing.T) {
	is := is.New(t)
	f := &fakeHost{}
	r := f.exec(t, "show hosts; show hots")
	is.Equal(r.code, ExitUsage)
	is.True(strings.Contains(r.err, "line 1, column 18")) // followed by what was expected
	is.Equal(f.calls, 0)
}

func TestStatementsStopAtTheFirstRefusal(t *testing.T) {
	is := is.New(t)
	f := &fakeHost{refusal: &query.Refusal{Reason: query.ReasonPlatform, Outcome: outcome.NotSent}}
	file := filepath.Join(t.TempDir(), "statements")
	is.NoErr(os.WriteFile(file, []byte("show hosts; -- comment\nshow config; show burn"), 0o600))
	r := f.exec(t, "-f", file)
	is.Equal(r.code, ExitFailed)
	is.Equal(f.calls, 1)
	is.True(strings.Contains(r.err, "statements not run after this one: 2"))
}

func TestStatementsFromStandardInput(t *testing.T) {
	is := is.New(t)
	f := &fakeHost{}
	r := run("show hosts", append(f.serve(t), "-")...)
	is.Equal(r.code, ExitOK)
	is.Equal(f.statement, "show hosts")
}

func TestUnreachable(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := ln.Addr().String()
	is.NoErr(ln.Close())
	r := run("", "exec", "--entry", address, `reserve "x" in s`)
	is.Equal(r.code, ExitUnreachable) // the connection was refused
	is.True(strings.Contains(r.err, "not sent"))
}

// If the connection is closed after the request was sent, the outcome of a
// reservation is unknown and the error names the id to repeat it with. A search
// changes no state and counts as unreachable.
func TestCutConnection(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, 1))
			_ = c.Close()
		}
	}()
	r := run("", "exec", "--entry", ln.Addr().String(), `reserve "x" in s`)
	is.Equal(r.code, ExitUnknown)
	is.True(strings.Contains(r.err, "it may have run; repeat it with reservation id "))
	is.Equal(run("", "exec", "--entry", ln.Addr().String(), `search service s ""`).code, ExitUnreachable)
}

func TestUsage(t *testing.T) {
	is := is.New(t)
	is.Equal(run("", "no-such-command").code, ExitUsage)
	is.Equal(run("", "exec", "--no-such-flag").code, ExitUsage)
	is.Equal(run("", "exec").code, ExitUsage)
	is.Equal(run("", "exec", "-f", "x", "show hosts").code, ExitUsage)
	is.Equal(run("", "serve").code, ExitUsage) // --settings is missing
	is.Equal(run("", "--help").code, ExitOK)
	is.Equal(run("", "version").code, ExitOK)
}
