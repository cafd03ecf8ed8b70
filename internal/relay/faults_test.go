package relay

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/catalog"
	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/query"
	"rhubarbwood.example/rhubarbwood/internal/targetapi"
	"rhubarbwood.example/rhubarbwood/internal/unit"
)

// fault is a response other than a valid answer, with the outcome and reason
// that the relay must report.
type fault struct {
	name    string
	serve   func(w http.ResponseWriter, r *http.Request, a targetapi.Answer)
	outcome outcome.Outcome
	reason  query.Reason
}

func changed(f func(*targetapi.Answer)) func(http.ResponseWriter, *http.Request, targetapi.Answer) {
	return func(w http.ResponseWriter, _ *http.Request, a targetapi.Answer) {
		f(&a)
		_ = json.NewEncoder(w).Encode(a)
	}
}

// rejecting responds with a rejection, which names the attempt unless body names another one.
func rejecting(status int, body targetapi.Rejection) func(http.ResponseWriter, *http.Request, targetapi.Answer) {
	return func(w http.ResponseWriter, r *http.Request, _ targetapi.Answer) {
		named := body
		if named.AttemptID == "" {
			named.AttemptID = r.Header.Get(targetapi.HeaderAttempt)
		}
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(named)
	}
}

// raw responds with the given bytes and closes the connection.
func raw(text string) func(http.ResponseWriter, *http.Request, targetapi.Answer) {
	return func(w http.ResponseWriter, _ *http.Request, _ targetapi.Answer) {
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = io.WriteString(c, text)
		_ = c.Close()
	}
}

// truncated drops the last bytes of the answer and aborts the connection; with
// announced above 0 the response has a Content-Length.
func truncated(announced, sent int) func(http.ResponseWriter, *http.Request, targetapi.Answer) {
	return func(w http.ResponseWriter, _ *http.Request, a targetapi.Answer) {
		body, _ := json.Marshal(a)
		if announced > 0 {
			w.Header().Set("Content-Length", "999")
		}
		_, _ = w.Write(body[:len(body)-sent])
		panic(http.ErrAbortHandler)
	}
}

var faults = []fault{
	{"crossed request", changed(func(a *targetapi.Answer) { a.RequestID = "r0" }), outcome.Unknown, query.ReasonBadAnswer},
	{"late answer of another attempt", changed(func(a *targetapi.Answer) { a.AttemptID = "a0" }), outcome.Unknown, query.ReasonBadAnswer},
	{"other service", changed(func(a *targetapi.Answer) { a.Service = "x" }), outcome.Unknown, query.ReasonBadAnswer},
	{"other shard", changed(func(a *targetapi.Answer) { a.Shard++ }), outcome.Unknown, query.ReasonBadAnswer},
	{"other snapshot", changed(func(a *targetapi.Answer) { a.Snapshot-- }), outcome.Unknown, query.ReasonBadAnswer},
	{"rows missing", changed(func(a *targetapi.Answer) { a.Rows = nil }), outcome.Unknown, query.ReasonBadAnswer},
	{"total below rows", changed(func(a *targetapi.Answer) { a.TotalRows = 0 }), outcome.Unknown, query.ReasonBadAnswer},
	{"doubled", func(w http.ResponseWriter, _ *http.Request, a targetapi.Answer) {
		body, _ := json.Marshal(a)
		_, _ = w.Write(append(body, body...))
	}, outcome.Unknown, query.ReasonBadAnswer},
	{"too large", func(w http.ResponseWriter, _ *http.Request, a targetapi.Answer) {
		a.Text = string(make([]byte, 70<<10))
		_ = json.NewEncoder(w).Encode(a)
	}, outcome.Unknown, query.ReasonBadAnswer},
	{"too large, length known", func(w http.ResponseWriter, _ *http.Request, a targetapi.Answer) {
		a.Text = string(make([]byte, 70<<10))
		body, _ := json.Marshal(a)
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write(body)
	}, outcome.Unknown, query.ReasonBadAnswer},
	{"truncated, length known", truncated(999, 5), outcome.Unknown, query.ReasonConnection},
	{"truncated, chunked", truncated(0, 5), outcome.Unknown, query.ReasonConnection},
	{"cut before the answer", raw(""), outcome.Unknown, query.ReasonConnection},
	{"cut within the header", raw("HTTP/1.1 200 O"), outcome.Unknown, query.ReasonConnection},
	{"not HTTP", raw("hello\r\n\r\n"), outcome.Unknown, query.ReasonConnection},
	{"redirect", func(w http.ResponseWriter, r *http.Request, _ targetapi.Answer) {
		http.Redirect(w, r, targetapi.PathShard, http.StatusTemporaryRedirect)
	}, outcome.Unknown, query.ReasonBadAnswer},
	{"error without a code", rejecting(500, targetapi.Rejection{}), outcome.Unknown, query.ReasonBadAnswer},
	{"code of another status", rejecting(409, targetapi.Rejection{Code: targetapi.CodeShed}), outcome.Unknown, query.ReasonBadAnswer},
	{"status without proof", rejecting(429, targetapi.Rejection{Code: targetapi.CodeShed}), outcome.Unknown, query.ReasonBadAnswer},
	{"crossed rejection", rejecting(503, targetapi.Rejection{Code: targetapi.CodeShed, AttemptID: "a0"}), outcome.Unknown, query.ReasonBadAnswer},
	{"failed", rejecting(500, targetapi.Rejection{Code: targetapi.CodeFailed}), outcome.Failed, query.ReasonTargetFailed},
	{"shed", rejecting(503, targetapi.Rejection{Code: targetapi.CodeShed}), outcome.Rejected, query.ReasonOverload},
	{"draining", rejecting(503, targetapi.Rejection{Code: targetapi.CodeDraining}), outcome.Rejected, query.ReasonDraining},
	{"snapshot not held", rejecting(409, targetapi.Rejection{Code: targetapi.CodeSnapshotNotHeld}), outcome.Rejected, query.ReasonSnapshotNotHeld},
}

func smallAnswers(_ *fixture, c *Config) { c.MaxAnswerBytes = 64 << 10 }

// eachFault runs the test for each fault at target t0, in virtual time.
func eachFault(t *testing.T, targets int, test func(is *is.I, f *fixture, x fault)) {
	for _, x := range faults {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(8, targets, smallAnswers)
				defer f.close()
				f.targets[0].serve = x.serve
				test(is.New(t), f, x)
			})
		})
	}
}

// With a single replica the fault determines the result at once, and no rows
// are returned.
func TestFaultIsToldTruly(t *testing.T) {
	eachFault(t, 1, func(is *is.I, f *fixture, x fault) {
		got, err := f.search(context.Background(), batch(1, time.Second))
		is.NoErr(err)
		is.Equal(got[0].Outcome, x.outcome)
		is.Equal(got[0].Reason, x.reason)
		is.Equal(len(got[0].Rows), 0)
		is.Equal(got[0].after, time.Duration(0)) // given up at once
		is.Equal(got[0].RetryAfter > 0, x.reason != query.ReasonSnapshotNotHeld)
	})
}

// If another replica is healthy, the search gets its answer there.
func TestFaultOfOneReplicaIsMended(t *testing.T) {
	eachFault(t, 2, func(is *is.I, f *fixture, _ fault) {
		got, err := f.search(context.Background(), batch(8, time.Second))
		is.NoErr(err)
		for _, r := range got {
			is.Equal(r.Outcome, outcome.Done)
		}
		is.True(f.targets[0].requestCount() > 0)
	})
}

func reserve(budget time.Duration) query.ReserveRequest {
	return query.ReserveRequest{RequestID: "r1", ReservationID: "v1", Service: "s", Item: "i", Budget: budget}
}

// Whatever the fault, a reservation reaches one target exactly once and its
// reported outcome is correct.
func TestFaultOfAReservation(t *testing.T) {
	eachFault(t, 2, func(is *is.I, f *fixture, x fault) {
		q := reserve(time.Second)
		target, refusal := f.relay.Pick(q, []string{"t1"})
		is.True(refusal == nil)
		is.Equal(target, "t0")
		got := f.relay.Send(context.Background(), q, target, "a1")
		is.Equal(got.Outcome, x.outcome)
		is.Equal(got.Reason, x.reason)
		is.Equal(f.targets[0].requestCount(), 1)
		is.Equal(f.targets[1].requestCount(), 0)
	})
}

func TestReservationAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(4, 3)
		defer f.close()
		got := f.relay.Send(t.Context(), reserve(time.Second), "t1", "a1")
		is.Equal(got, query.Reservation{RequestID: "r1", ReservationID: "v1", Outcome: outcome.Done,
			Granted: true, Answer: "kept", Target: "t1"})
		is.Equal(f.targets[1].requests[0].attempt, "a1")
		is.Equal(f.targets[1].requests[0].kind, targetapi.KindReserve)
	})
}

// brokenConn fails its first write, after which it is unknown whether a byte
// left the host.
type brokenConn struct{ net.Conn }

func (brokenConn) Write([]byte) (int, error) { return 0, io.ErrClosedPipe }

func TestCutsBeforeAndDuringTheSend(t *testing.T) {
	for name, x := range map[string]struct {
		dial func(ctx context.Context) (net.Conn, error)
		want outcome.Outcome
	}{
		"refused": {func(context.Context) (net.Conn, error) { return nil, net.ErrClosed }, outcome.NotSent},
		"never connected": {func(ctx context.Context) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}, outcome.NotSent},
		"write failed": {func(context.Context) (net.Conn, error) {
			c, other := net.Pipe()
			time.AfterFunc(time.Minute, func() { _ = other.Close() })
			return brokenConn{c}, nil
		}, outcome.Unknown},
		"cut during the send": {func(context.Context) (net.Conn, error) {
			c, other := net.Pipe()
			go func() {
				_, _ = io.ReadFull(other, make([]byte, 40))
				_ = other.Close()
			}()
			return c, nil
		}, outcome.Unknown},
		"nobody reads": {func(context.Context) (net.Conn, error) {
			c, other := net.Pipe()
			time.AfterFunc(time.Minute, func() { _ = other.Close() })
			return c, nil
		}, outcome.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFixture(1, 1)
				defer f.close()
				f.relay.dial = func(ctx context.Context, _, _ string) (net.Conn, error) { return x.dial(ctx) }
				is.Equal(f.relay.Send(t.Context(), reserve(time.Second), "t0", "a1").Outcome, x.want)
				got, err := f.search(t.Context(), batch(1, time.Second))
				is.NoErr(err)
				is.Equal(got[0].Outcome, x.want)
				time.Sleep(time.Hour)
			})
		})
	}
}

// A sealed connection fails all writes and counts every write that began
// before.
func TestSealedConnectionWritesNoMore(t *testing.T) {
	is := is.New(t)
	client, server := net.Pipe()
	defer func() { _ = server.Close() }()
	go func() { _, _ = io.Copy(io.Discard, server) }()
	c := &conn{Conn: client, onClose: func() {}}
	_, err := c.Write([]byte("x"))
	is.NoErr(err)
	is.Equal(c.seal(), uint64(1))
	_, err = c.Write([]byte("y"))
	is.True(err != nil)
	is.Equal(c.writeCount(), uint64(1))
}

// The budget is checked right before the send, so a reservation that waited
// past its budget in the queue is not sent.
func TestReservationIsNotSentPastItsBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(1, 1, rules(func(r *catalog.Rules) { r.ConnectionsPerRelay = 1 }))
		defer f.close()
		f.targets[0].delay = 10 * time.Second
		go func() { _ = f.relay.Send(t.Context(), reserve(20*time.Second), "t0", "a1") }()
		synctest.Wait()
		begin := time.Now()
		got := f.relay.Send(t.Context(), reserve(time.Second), "t0", "a2") // waits behind a1
		is.Equal(got.Outcome, outcome.NotSent)
		is.Equal(time.Since(begin), time.Second)
		done, cancel := context.WithCancel(t.Context())
		cancel()
		is.Equal(f.relay.Send(done, reserve(time.Second), "t0", "a3").Outcome, outcome.NotSent)
		is.Equal(f.relay.Send(t.Context(), reserve(0), "t0", "a4").Outcome, outcome.NotSent)
		time.Sleep(time.Minute)
		is.Equal(f.targets[0].requestCount(), 1)
	})
}

// The target receives the budget that remains after the wait for a connection.
func TestTargetReceivesRemainingBudget(t *testing.T) {
	for _, protocol := range []string{protocolHTTP1, protocolH2C} {
		t.Run(protocol, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFixture(1, 1, rules(func(r *catalog.Rules) { r.Protocol = protocol }))
				defer f.close()
				var budget string
				f.targets[0].serve = func(w http.ResponseWriter, r *http.Request, a targetapi.Answer) {
					budget = r.Header.Get(targetapi.HeaderBudget)
					_ = json.NewEncoder(w).Encode(a)
				}
				f.relay.dial = func(context.Context, string, string) (net.Conn, error) {
					time.Sleep(100 * time.Millisecond)
					return f.targets[0].dial()
				}
				is.Equal(f.relay.Send(t.Context(), reserve(time.Second), "t0", "a1").Outcome, outcome.Done)
				is.Equal(budget, "900.000")
			})
		})
	}
}

// A host that was frozen may resume before its expired timers run, so the
// context is not cancelled yet. The deadline is therefore checked before the
// attempt is sent and again once it has a connection.
func TestAttemptPastItsDeadlineIsNotSentThoughNothingCancelledIt(t *testing.T) {
	for name, x := range map[string]struct{ left, connect time.Duration }{
		"late before":                 {0, 0},
		"late after the connection":   {time.Second, 2 * time.Second},
		"in time, for the comparison": {time.Second, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFixture(1, 1)
				defer f.close()
				f.relay.cfg.ConnectTimeout = unit.Duration(time.Minute)
				f.relay.dial = func(context.Context, string, string) (net.Conn, error) {
					time.Sleep(x.connect)
					return f.targets[0].dial()
				}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				target, _ := f.relay.pool("s").usableTarget("t0")
				got := target.send(ctx, cancel, &attempt{id: "a", requestID: "r", service: "s", snapshot: 7,
					body: []byte("{}"), deadline: time.Now().Add(x.left)})
				inTime := x.left > x.connect
				is.Equal(got.outcome == outcome.Done, inTime)
				is.Equal(got.outcome == outcome.NotSent, !inTime)
				is.Equal(f.targets[0].requestCount() == 1, inTime)
			})
		})
	}
}

// A late copy of a rejection that names no attempt counted as the rejection of the next attempt on the connection: a
// reservation that ran was reported as not run. A search may run twice, and is rejected by it as before.
func TestRejectionThatNamesNoAttemptProvesNothingOfAReservation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(8, 1, smallAnswers)
		defer f.close()
		f.targets[0].serve = func(w http.ResponseWriter, _ *http.Request, _ targetapi.Answer) {
			w.WriteHeader(http.StatusServiceUnavailable)
			_ = json.NewEncoder(w).Encode(targetapi.Rejection{Code: targetapi.CodeShed})
		}
		got := f.relay.Send(t.Context(), reserve(time.Second), "t0", "a")
		is.Equal(got.Outcome, outcome.Unknown)
		is.Equal(got.Reason, query.ReasonBadAnswer)
		found, err := f.search(context.Background(), batch(1, time.Second))
		is.NoErr(err)
		is.Equal(found[0].Outcome, outcome.Rejected)
	})
}
