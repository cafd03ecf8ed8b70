package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"pgregory.net/rapid"

	"rhubarbwood.example/rhubarbwood/internal/discovery"
	"rhubarbwood.example/rhubarbwood/internal/event"
	"rhubarbwood.example/rhubarbwood/internal/gateway"
	"rhubarbwood.example/rhubarbwood/internal/kernel"
	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/revision"
	"rhubarbwood.example/rhubarbwood/internal/routing"
	"rhubarbwood.example/rhubarbwood/internal/standin/platformtarget"
	"rhubarbwood.example/rhubarbwood/platform"
)

func TestAnswerIsTheTargets(t *testing.T) {
	run(t, options{records: 3}, func(t *testing.T, s *site) {
		is := is.New(t)
		a := s.send(http.MethodPost, "/once/a%2Fb?c=%20d", "r1", "text")
		is.Equal(a.status, http.StatusOK)
		is.Equal(string(a.body), string(platformtarget.Body("s0", "r1", 3)))
		is.Equal(a.header.Get(platform.HeaderSignature), platformtarget.Signature("s0", "r1"))
		is.Equal(a.header.Get(platform.HeaderRequestID), "r1")
		var ran []platformtarget.Run
		for _, target := range s.targets {
			ran = append(ran, target.Runs()...)
		}
		is.Equal(len(ran), 1)
		is.Equal(ran[0].Method+" "+ran[0].URI+" "+ran[0].Body, "POST /once/a%2Fb?c=%20d text")
		is.True(ran[0].Budget > 590*time.Millisecond && ran[0].Budget <= 600*time.Millisecond)
	})
}

func TestTargetsOwnFailureIsPassedOn(t *testing.T) {
	run(t, options{}, func(t *testing.T, s *site) {
		is := is.New(t)
		s.faults("s0", platformtarget.Faults{Fail: 1})
		a := s.get("/once/x", "r1")
		is.Equal(a.status, http.StatusInternalServerError)
		is.Equal(a.header.Get(platform.HeaderSignature), platformtarget.Signature("s0", "r1"))
		is.Equal(s.runs("r1"), 1)
	})
}

func TestIdempotentRequestIsRepeatedElsewhere(t *testing.T) {
	for name, f := range map[string]platformtarget.Faults{
		"fails": {Fail: 1}, "sheds": {Shed: 1}, "loses": {Lose: 1}, "cuts": {Cut: 1}, "is another": {Impostor: true},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, options{}, func(t *testing.T, s *site) {
				is := is.New(t)
				for i := range 40 { // earns retry budget
					is.Equal(s.get("/one/x", fmt.Sprintf("w%d", i)).status, http.StatusOK)
				}
				s.faults("s0-t0", f)
				for i := range 4 {
					is.Equal(s.get("/one/x", fmt.Sprintf("r%d", i)).status, http.StatusOK)
				}
			})
		})
	}
}

func TestRequestThatIsNotIdempotentRunsOnce(t *testing.T) {
	for name, f := range map[string]platformtarget.Faults{"loses": {Lose: 1}, "cuts": {Cut: 1}} {
		t.Run(name, func(t *testing.T) {
			run(t, options{}, func(t *testing.T, s *site) {
				is := is.New(t)
				s.faults("s0", f)
				a := s.get("/once/x", "r1")
				is.Equal(a.status, http.StatusBadGateway) // the request may have run
				is.Equal(a.header.Get("Retry-After"), "")
				is.Equal(s.runs("r1"), 1)
			})
		})
	}
}

func TestRefusalHasRetryAfter(t *testing.T) {
	cases := map[string]func(s *site){
		"every target sheds": func(s *site) { s.faults("s0", platformtarget.Faults{Shed: 1}) },
		"every target is another": func(s *site) {
			s.faults("s0", platformtarget.Faults{Impostor: true})
		},
		"every target leaves": func(s *site) {
			for _, id := range []string{"s0-t0", "s0-t1"} {
				s.register(discovery.Target{ID: id, Service: "s0", Address: id + ":80", Draining: true})
			}
		},
	}
	for name, do := range cases {
		t.Run(name, func(t *testing.T) {
			run(t, options{}, func(t *testing.T, s *site) {
				is := is.New(t)
				do(s)
				a := s.get("/once/x", "r1")
				is.Equal(a.status, http.StatusServiceUnavailable)
				after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
				is.NoErr(err)
				is.True(after > 0 && after < 1)
				is.Equal(s.runs("r1"), 0)
				is.True(a.took < objective/4) // without a wait
			})
		})
	}
}

// TestPromisesUnderFaults sends requests under random combinations of faults and checks each answer
// against the requests that the targets ran.
func TestPromisesUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		faults := rapid.Custom(func(t *rapid.T) platformtarget.Faults {
			share := rapid.SampledFrom([]float64{0, 0, 0.3, 1})
			return platformtarget.Faults{
				Fail: share.Draw(t, "fail"), Shed: share.Draw(t, "shed"), Lose: share.Draw(t, "lose"),
				Cut: share.Draw(t, "cut"), Extra: share.Draw(t, "extra"), Unframed: share.Draw(t, "unframed"),
				Silent: rapid.IntRange(0, 5).Draw(t, "silent") == 0, Impostor: rapid.IntRange(0, 5).Draw(t, "impostor") == 0,
				Slow: rapid.SampledFrom([]float64{1, 8, 30}).Draw(t, "slow"),
			}
		})
		first, second := faults.Draw(rt, "first"), faults.Draw(rt, "second")
		paths := rapid.SliceOfN(rapid.SampledFrom([]string{"/one/x", "/once/x", "/all/x"}), 1, 12).Draw(rt, "paths")
		run(t, options{services: 3, records: 2}, func(t *testing.T, s *site) {
			s.faults("s0-t0", first)
			s.faults("s0-t1", second)
			s.faults("s1-t0", first)
			for i, path := range paths {
				id := fmt.Sprintf("r%d", i)
				a := s.get(path, id)
				time.Sleep(2 * time.Second) // attempts still in flight have ended
				s.checkPromises(t, path, id, a)
			}
		})
	})
}

// checkPromises checks an answer against the requests that the targets ran.
func (s *site) checkPromises(t *testing.T, path, id string, a answer) {
	t.Helper()
	ran := s.runs(id)
	if path == "/once/x" && ran > 1 {
		t.Errorf("%s %s ran %d times", path, id, ran)
	}
	if (a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests) && a.header.Get(platform.HeaderSignature) == "" && ran > 0 {
		t.Errorf("%s %s was refused as not run and ran %d times", path, id, ran)
	}
	if a.took > timeout+50*time.Millisecond {
		t.Errorf("%s %s was answered after %s", path, id, a.took)
	}
	if a.status != http.StatusOK {
		return
	}
	if path == "/all/x" {
		s.checkMerged(t, id, a)
		return
	}
	if string(a.body) != string(platformtarget.Body("s0", id, 2)) {
		t.Errorf("%s %s: the body is not the target's", path, id)
	}
}

// checkMerged checks a merged answer against its parts.
func (s *site) checkMerged(t *testing.T, id string, a answer) {
	t.Helper()
	var bodies []byte
	named := strings.Split(a.header.Get(platform.HeaderParts), ", ")
	for _, signature := range named {
		service := strings.TrimSuffix(signature, "."+id)
		if service == signature {
			t.Fatalf("%s: part %q is no answer to it", id, signature)
		}
		bodies = append(bodies, platformtarget.Body(service, id, 2)...)
	}
	missing, err := strconv.Atoi(a.header.Get(platform.HeaderMissing))
	if err != nil || missing+len(named) != 3 {
		t.Errorf("%s: %d parts and %q missing of 3", id, len(named), a.header.Get(platform.HeaderMissing))
	}
	if want := gateway.Merge([][]byte{bodies}, 3); string(a.body) != string(want) {
		t.Errorf("%s: the body is not the greatest records of the parts", id)
	}
}

func TestSlowTargetIsHedged(t *testing.T) {
	run(t, options{}, func(t *testing.T, s *site) {
		is := is.New(t)
		for i := range 40 {
			s.get("/one/x", fmt.Sprintf("w%d", i))
		}
		s.faults("s0-t0", platformtarget.Faults{Silent: true})
		for i := range 10 {
			a := s.get("/one/x", fmt.Sprintf("r%d", i))
			is.Equal(a.status, http.StatusOK)
			is.True(a.took < objective)
		}
	})
}

// Extra attempts stay within the retry budget that first attempts earn, even if all attempts fail.
func TestExtraAttemptsStayWithinBudget(t *testing.T) {
	run(t, options{}, func(t *testing.T, s *site) {
		is := is.New(t)
		s.faults("s0", platformtarget.Faults{Fail: 1})
		const requests = 200
		for i := range requests {
			s.get("/one/x", fmt.Sprintf("r%d", i))
		}
		arrived := 0
		for _, target := range s.targets {
			arrived += target.Received()
		}
		extra := arrived - requests
		is.True(extra > 0)
		is.True(extra <= requests/5+6)
	})
}

func TestCallerDisconnectEndsAttempts(t *testing.T) {
	run(t, options{services: 2}, func(t *testing.T, s *site) {
		is := is.New(t)
		s.faults("s0", platformtarget.Faults{Silent: true})
		s.faults("s1", platformtarget.Faults{Silent: true})
		for i, path := range []string{"/one/x", "/once/x", "/all/x"} {
			id := fmt.Sprintf("r%d", i)
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			s.sendWith(ctx, http.MethodGet, path, "", http.Header{platform.HeaderRequestID: {id}})
			cancel()
			time.Sleep(100 * time.Millisecond)
			for _, target := range s.targets {
				for _, r := range target.Runs() {
					is.True(r.Cancelled) // required within half a second, checked after 100 ms
				}
			}
			is.True(s.runs(id) > 0)
		}
	})
}

func TestRequestWithoutRoute(t *testing.T) {
	run(t, options{}, func(t *testing.T, s *site) {
		is := is.New(t)
		is.Equal(s.get("/none/x", "r1").status, http.StatusNotFound)
		time.Sleep(gateway.DefaultConfig().FreshFor.Std() + time.Millisecond)
		a := s.get("/none/x", "r2") // the configuration may be out of date
		is.Equal(a.status, http.StatusServiceUnavailable)
		is.True(a.header.Get("Retry-After") != "")
		is.Equal(s.get("/one/x", "r3").status, http.StatusOK)
	})
}

// A target receives the path in its escaped form, so routes must be matched against that form.
func TestRouteIsChosenByThePathAsItWasSent(t *testing.T) {
	run(t, options{}, func(t *testing.T, s *site) {
		is := is.New(t)
		is.Equal(s.get("/one%2Fx", "r1").status, http.StatusNotFound)
		is.Equal(s.get("//one/x", "r2").status, http.StatusBadRequest)
		is.Equal(s.get("/one/%2Fx", "r3").status, http.StatusOK)
		is.Equal(s.runs("r1")+s.runs("r2"), 0)
	})
}

func TestRequestBeforeAConfigurationIsKnown(t *testing.T) {
	run(t, options{unconfigured: true}, func(t *testing.T, s *site) {
		is := is.New(t)
		a := s.get("/one/x", "r1")
		is.Equal(a.status, http.StatusServiceUnavailable)
		is.True(a.header.Get("Retry-After") != "")
		s.configure(1, s.defaultRoutes(1)...)
		is.Equal(s.get("/one/x", "r2").status, http.StatusOK)
	})
}

func TestBadRequests(t *testing.T) {
	run(t, options{}, func(t *testing.T, s *site) {
		is := is.New(t)
		cases := []struct {
			name   string
			header http.Header
			body   string
			want   int
		}{
			{"no id", http.Header{}, "", http.StatusBadRequest},
			{"no time", http.Header{platform.HeaderRequestID: {"r"}, platform.HeaderDeadline: {"0"}}, "", http.StatusBadRequest},
			{"nonsense for a time", http.Header{platform.HeaderRequestID: {"r"}, platform.HeaderDeadline: {"soon"}}, "", http.StatusBadRequest},
			{"header too long", http.Header{platform.HeaderRequestID: {"r"}, "X-Long": {strings.Repeat("x", 4<<10)}}, "", http.StatusRequestHeaderFieldsTooLarge},
			{"body too long", http.Header{platform.HeaderRequestID: {"r"}}, strings.Repeat("x", 1<<10+1), http.StatusRequestEntityTooLarge},
		}
		for _, tc := range cases {
			a := s.sendWith(t.Context(), http.MethodPost, "/one/x", tc.body, tc.header)
			is.Equal(a.status, tc.want)
			is.True(strings.Contains(string(a.body), "error"))
		}
		for _, target := range s.targets {
			is.Equal(target.Received(), 0)
		}
	})
}

// Malformed requests are sent as raw bytes, since HTTP client libraries refuse to send them.
func TestBrokenFramingRunsNothing(t *testing.T) {
	const head = "POST /once/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: r1\r\n"
	cases := map[string]string{
		"two lengths":        head + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
		"a length and chunk": head + "Content-Length: 40\r\nTransfer-Encoding: chunked\r\n\r\nX\r\n",
		"a bad chunk":        head + "Transfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n0\r\n\r\n",
		"a bad length":       head + "Content-Length: -1\r\n\r\n",
		"no version":         "POST /once/x\r\n\r\n",
		"a bad header":       head + "Bad Header: x\r\n\r\n",
		"no host":            "POST /once/x HTTP/1.1\r\nX-Request-Id: r1\r\n\r\n",
		"a body cut short":   head + "Content-Length: 9\r\n\r\nab",
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			run(t, options{}, func(t *testing.T, s *site) {
				is := is.New(t)
				c, err := s.network.Dial(t.Context(), "tcp", callersAddress)
				is.NoErr(err)
				go func() { _, _ = c.Write([]byte(text)) }()
				synctest.Wait()
				_ = c.SetReadDeadline(time.Now().Add(time.Second))
				answer := make([]byte, 1<<10)
				n, _ := c.Read(answer)
				_ = c.Close()
				if n > 0 {
					is.True(strings.HasPrefix(string(answer[:n]), "HTTP/1.1 4"))
				}
				synctest.Wait()
				for _, target := range s.targets {
					is.Equal(len(target.Runs()), 0)
				}
			})
		})
	}
}

func TestTrafficIsSplitByWeight(t *testing.T) {
	run(t, options{services: 2}, func(t *testing.T, s *site) {
		is := is.New(t)
		routes := s.defaultRoutes(2)
		routes[0].Destinations = append(routes[0].Destinations, routes[0].Destinations[0])
		routes[0].Destinations[1].Service = "s1"
		routes[0].Destinations[1].Weight = 3
		s.configure(2, routes...)
		const requests = 400
		for i := range requests {
			is.Equal(s.get("/one/x", fmt.Sprintf("r%d", i)).status, http.StatusOK)
		}
		second := s.targets["s1-t0"].Received() + s.targets["s1-t1"].Received()
		is.True(second > requests*65/100 && second < requests*85/100)
	})
}

func TestReadiness(t *testing.T) {
	run(t, options{}, func(t *testing.T, s *site) {
		is := is.New(t)
		a := s.get("/one/x", "r1")
		is.Equal(a.header.Get("Connection"), "")
		s.life.Advance(kernel.Leaving)
		a = s.get("/one/x", "r2") // answered, and then the connection is closed
		is.Equal(a.status, http.StatusOK)
	})
}

// A host with routes but no targets would refuse every request, so it must not be ready.
func TestHostIsReadyOnceItKnowsConfigurationAndTargets(t *testing.T) {
	is := is.New(t)
	state, life := discovery.NewState(), kernel.NewLifecycle()
	life.Advance(kernel.Ready)
	g := gateway.New(gateway.DefaultConfig(), member.Host{ID: "h"}, func() int { return 1 }, state, emptyQuarantine(), platform.Messages{}, &recorder{}, life, event.Discard(), prometheus.NewRegistry())
	is.True(g.Ready() != nil)
	state.ApplyConfig(discovery.ConfigRead{Config: routing.Config{Version: 1}, Found: true, Revision: at(1)}, time.Now())
	is.True(g.Ready() != nil)
	state.ApplyTargets(discovery.TargetList{Revision: at(1)}, time.Now()) // an empty list suffices
	is.NoErr(g.Ready())
}

// at returns a revision of a store without eras.
func at(number uint64) revision.Revision { return revision.Revision{Number: number} }
