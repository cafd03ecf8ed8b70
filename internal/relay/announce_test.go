package relay

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"rhubarbwood.example/rhubarbwood/internal/catalog"
	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/targetapi"
)

// lossySignSender delivers signs between the relays of a test; the first call
// to each host is lost.
type lossySignSender struct {
	relays map[string]*fixture
	mu     sync.Mutex
	calls  map[string]int
	signs  int
}

func (w *lossySignSender) SendSigns(_ context.Context, to member.Host, signs []TargetSign) error {
	w.mu.Lock()
	w.calls[to.ID]++
	first := w.calls[to.ID] == 1
	if !first {
		w.signs += len(signs)
	}
	w.mu.Unlock()
	if first {
		return Error.New("lost")
	}
	w.relays[to.ID].relay.ReceiveSigns(signs)
	return nil
}

// count returns the number of delivered signs and of hosts called.
func (w *lossySignSender) count() (signs, hosts int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.signs, len(w.calls)
}

// Of 24 hosts, 12 read the host list and 8, partly others, relay the service.
// The status of the target always reports ready and it serves all requests. A
// sign that few hosts observe must reach all relays, including hosts that
// become relays later.
func TestSignReachesEveryRelay(t *testing.T) {
	const hosts, relays, readers = 24, 8, 12
	for name, x := range map[string]struct {
		show     func(f *fixture, lists []*hostList)
		maxSigns int // delivered
	}{
		"host list": {func(_ *fixture, lists []*hostList) {
			for _, l := range lists {
				l.set("t0", true)
			}
		}, readers * relays},
		"one answer": {func(f *fixture, _ []*hostList) {
			var refused atomic.Bool
			f.targets[0].set(func(x *fakeTarget) {
				x.serve = func(w http.ResponseWriter, r *http.Request, a targetapi.Answer) {
					if refused.CompareAndSwap(false, true) {
						reject(w, r, http.StatusServiceUnavailable, targetapi.CodeDraining)
						return
					}
					_ = json.NewEncoder(w).Encode(a)
				}
			})
		}, relays - 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFixture(1, 3, rules(func(r *catalog.Rules) { r.Relays = relays }))
				all, lists := f.withRelays(hosts), make([]*hostList, hosts)
				w := &lossySignSender{relays: map[string]*fixture{}, calls: map[string]int{}}
				var gone string
				onlyRelays := 0
				for i, g := range all {
					g.members.set(hostIDs(0, hosts)...)
					lists[i] = &hostList{}
					g.relay.hosts, g.relay.SignSender = lists[i], w
					w.relays[g.members.self] = g
					is.NoErr(g.relay.Start(t.Context()))
					if g.relay.Assigned("s") && !g.relay.readsHostList() {
						onlyRelays, gone = onlyRelays+1, g.members.self
					}
				}
				is.True(onlyRelays > 0)
				run := func(span time.Duration) {
					var work sync.WaitGroup
					for _, g := range all {
						if g.relay.Assigned("s") {
							work.Go(func() { g.searchFor(t, span, 20*time.Millisecond) })
						}
					}
					work.Wait()
				}
				run(3 * time.Second)
				is.True(f.targets[0].requestCount() > 0)

				shown := time.Now()
				x.show(f, lists)
				run(2 * maxLeaveDelay)
				is.Equal(f.targets[0].requestsSince(shown.Add(maxLeaveDelay)), 0)
				signs, told := w.count()
				is.True(signs > 0 && signs <= x.maxSigns)
				is.True(told <= relays)

				others := make([]string, 0, hosts)
				for _, id := range hostIDs(0, hosts) {
					if id != gone {
						others = append(others, id)
					}
				}
				changed := time.Now()
				for _, g := range all {
					g.members.set(others...)
				}
				run(2 * maxLeaveDelay)
				is.Equal(f.targets[0].requestsSince(changed.Add(maxLeaveDelay/3)), 0)

				f.targets[0].set(func(x *fakeTarget) { x.status.Incarnation++ })
				back := time.Now()
				run(2 * maxLeaveDelay)
				is.True(f.targets[0].requestsSince(back) > 0) // the new incarnation gets work
				for _, g := range all[1:] {
					is.NoErr(g.relay.Stop(t.Context()))
				}
				f.close()
			})
		})
	}
}

func TestUnknownSignIsDropped(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 1)
	defer f.close()
	f.relay.ReceiveSigns([]TargetSign{
		{Service: "x", Target: "t0", Sign: signStatus}, {Service: "s", Target: "x", Sign: signStatus},
		{Service: "s", Target: "t0", Sign: "x"},
	})
	is.Equal(testutil.ToFloat64(f.relay.metrics.signs.WithLabelValues("unknown")), 3.0)
	is.Equal(f.relay.Targets()[0].State, TargetCold)
}
