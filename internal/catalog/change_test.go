package catalog

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"rhubarbwood.example/rhubarbwood/internal/event"
	"rhubarbwood.example/rhubarbwood/internal/objstore"
	"rhubarbwood.example/rhubarbwood/internal/objstore/objstoretest"
	"rhubarbwood.example/rhubarbwood/internal/revision"
)

// fixedView is a View of a fixed configuration.
type fixedView struct{ *view }

func (v fixedView) Service(name string) (Service, bool)  { return v.service(name) }
func (v fixedView) Services() []Service                  { return v.services }
func (v fixedView) Workload(name string) []Service       { return v.workloads[name] }
func (v fixedView) Snapshots(workload string) []Snapshot { return v.snapshots[workload] }
func (v fixedView) Revision() uint64                     { return 0 }

func newEditor(c *objstoretest.Client, v *view) *Editor {
	return &Editor{cfg: DefaultConfig(), store: c, view: fixedView{v}, log: event.Discard(), changes: newMetrics(nil).changes}
}

// operatorClient is an operator's editor and its client, in which faults can be injected.
type operatorClient struct {
	client *objstoretest.Client
	editor *Editor
}

func newOperatorClient(p *objstoretest.Platform) operatorClient {
	c := p.Client()
	return operatorClient{c, newEditor(c, &view{})}
}

// fault is a fault of an operator's next calls.
type fault struct {
	kind  string
	calls int
}

func (c operatorClient) injectFault(f fault) {
	switch f.kind {
	case "answers lost":
		c.client.LoseNextAnswers(f.calls)
	case "requests lost":
		c.client.LoseNextRequests(f.calls)
	case "late":
		c.client.DelayNextWrites(f.calls)
	case "slow":
		c.client.SetLatency(time.Duration(f.calls) * time.Second)
	case "down":
		c.client.SetDown(true)
	}
}

func (c operatorClient) clearFaults() {
	c.client.LoseNextAnswers(0)
	c.client.LoseNextRequests(0)
	c.client.DelayNextWrites(0)
	c.client.SetLatency(0)
	c.client.SetDown(false)
}

// round is one request per operator, all made concurrently.
type round struct {
	faults       []fault
	requests     []Request // versions are set when the requests are made
	releaseEarly bool      // late writes take effect while the operators wait for their results
	releaseLate  bool      // late writes take effect after the operators have their results
}

const operatorCount = 3

func drawRound(t *rapid.T) round {
	r := round{releaseEarly: rapid.Bool().Draw(t, "release early"), releaseLate: rapid.Bool().Draw(t, "release late")}
	for range operatorCount {
		r.faults = append(r.faults, fault{
			rapid.SampledFrom([]string{"none", "answers lost", "requests lost", "late", "slow", "down"}).Draw(t, "fault"),
			rapid.IntRange(1, 3).Draw(t, "calls"),
		})
		req := alter(0, rapid.IntRange(1, 9).Draw(t, "relays"), "tester")
		req.Verb = rapid.SampledFrom([]Verb{Create, Alter, Alter, Alter, Drop}).Draw(t, "verb")
		r.requests = append(r.requests, req)
	}
	return r
}

// run makes the requests of a round and returns the results that the operators received.
func (r round) run(ctx context.Context, p *objstoretest.Platform, clients []operatorClient) []Result {
	results := make([]Result, operatorCount)
	var wg sync.WaitGroup
	for i, c := range clients {
		for _, o := range p.Objects(objstore.KindService) {
			r.requests[i].Version = o.Version
		}
		c.injectFault(r.faults[i])
		wg.Go(func() { results[i] = c.editor.Change(ctx, r.requests[i]) })
	}
	if r.releaseEarly {
		time.Sleep(time.Second)
		p.ApplyDelayedWrites()
	}
	wg.Wait()
	for _, c := range clients {
		c.clearFaults()
	}
	if r.releaseLate {
		p.ApplyDelayedWrites()
	}
	return results
}

// writesByChangeID returns all writes in the platform's history by change id.
func writesByChangeID(ctx context.Context, p *objstoretest.Platform) map[string][]objstore.Object {
	writes := map[string][]objstore.Object{}
	l, err := p.Client().Watch(ctx, revision.Revision{}, 0, kinds...)
	if err != nil {
		panic(err)
	}
	for _, o := range l.Objects {
		id := changeOf(o).ID
		writes[id] = append(writes[id], o)
	}
	return writes
}

// checkResult compares the result that an operator received with the writes that took effect.
func checkResult(r Result, req Request, writes []objstore.Object) error {
	switch {
	case len(writes) > 1:
		return fmt.Errorf("change %s was written %d times", r.ChangeID, len(writes))
	case r.Status == Refused && len(writes) != 0:
		return fmt.Errorf("result is refused, but the change was written: %+v", r)
	case r.Status == Accepted && len(writes) != 1:
		return fmt.Errorf("result is accepted, but the change was not written: %+v", r)
	case r.Status != Accepted:
		return nil
	}
	o := writes[0]
	switch {
	case o.Version != r.Version || r.Revision != 0 && o.Revision != r.Revision:
		return fmt.Errorf("result has version %d revision %d, the change was written at %d and %d", r.Version, r.Revision, o.Version, o.Revision)
	case req.Verb != Create && o.Version != req.Version+1:
		return fmt.Errorf("change was written over version %d, but the operator read %d", o.Version-1, req.Version)
	}
	return nil
}

// TestOperatorsAreToldTheTruth guards against wrong results: three operators
// change one service concurrently while requests and responses are lost, late or
// slow, and each result must agree with the writes that took effect.
func TestOperatorsAreToldTheTruth(t *testing.T) {
	seen := map[Status]int{}
	rapid.Check(t, func(rt *rapid.T) {
		rounds := rapid.SliceOfN(rapid.Custom(drawRound), 1, 8).Draw(rt, "rounds")
		var problems error
		synctest.Test(t, func(t *testing.T) {
			p := objstoretest.New()
			clients := []operatorClient{newOperatorClient(p), newOperatorClient(p), newOperatorClient(p)}
			var results []Result
			for _, r := range rounds {
				results = append(results, r.run(t.Context(), p, clients)...)
			}
			p.ApplyDelayedWrites()
			writes := writesByChangeID(t.Context(), p)
			for i, r := range results {
				seen[r.Status]++
				problems = errors.Join(problems, checkResult(r, rounds[i/operatorCount].requests[i%operatorCount], writes[r.ChangeID]))
			}
		})
		if problems != nil {
			rt.Fatal(problems)
		}
	})
	if seen[Accepted] == 0 || seen[Refused] == 0 || seen[Unknown] == 0 {
		t.Fatalf("not every status was seen: %v", seen)
	}
}

// withService runs a test on a platform that has service "a" at version 1.
func withService(t *testing.T, test func(ctx context.Context, is *is.I, p *objstoretest.Platform, c operatorClient)) {
	synctest.Test(t, func(t *testing.T) {
		p := objstoretest.New()
		c := newOperatorClient(p)
		is := is.New(t)
		r := c.editor.Change(t.Context(), Request{Verb: Create, Service: testService("a"), Author: Author{Operator: "first"}})
		is.Equal(r.Status, Accepted)
		is.Equal(r.Version, uint64(1))
		test(t.Context(), is, p, c)
	})
}

func alter(version uint64, relays int, by string) Request {
	s := testService("a")
	s.Rules.Relays = relays
	return Request{Verb: Alter, Service: s, Version: version, Author: Author{Operator: by, Reason: "test"}}
}

func TestLostAnswerOfAnAcceptedChange(t *testing.T) {
	withService(t, func(ctx context.Context, is *is.I, p *objstoretest.Platform, c operatorClient) {
		c.client.LoseNextAnswers(1)
		r := c.editor.Change(ctx, alter(1, 3, "second"))
		is.Equal(r.Status, Accepted)
		is.Equal(r.Version, uint64(2))
		is.Equal(r.Revision, p.Revision())
	})
}

// TestLostAnswerOfAChangeThatOthersFollowed loses the response to a change, and
// other operators change the service before it is read back. The change is
// recognized as long as the object still lists its id.
func TestLostAnswerOfAChangeThatOthersFollowed(t *testing.T) {
	for changesBetween, want := range map[int]Status{1: Accepted, maxPreviousChanges: Accepted, maxPreviousChanges + 1: Unknown} {
		withService(t, func(ctx context.Context, is *is.I, p *objstoretest.Platform, c operatorClient) {
			c.client.LoseNextAnswers(1)
			time.AfterFunc(time.Millisecond, func() {
				for i := range changesBetween {
					_ = newOperatorClient(p).editor.Change(ctx, alter(uint64(i+2), i, "other"))
				}
			})
			r := c.editor.Change(ctx, alter(1, 3, "second"))
			is.Equal(r.Status, want)
			is.Equal(p.Revision(), uint64(2+changesBetween))
			if want == Accepted {
				is.Equal(r.Version, uint64(2))
			}
		})
	}
}

func TestLostRaceNamesTheWinnerAndTheDifferences(t *testing.T) {
	withService(t, func(ctx context.Context, is *is.I, p *objstoretest.Platform, c operatorClient) {
		won := c.editor.Change(ctx, alter(1, 3, "winner"))
		is.Equal(won.Status, Accepted)
		lost := c.editor.Change(ctx, alter(1, 4, "loser"))
		is.Equal(lost.Status, Refused)
		is.Equal(lost.Lost.Version, uint64(2))
		is.Equal(lost.Lost.Winner.ID, won.ChangeID)
		is.Equal(lost.Lost.Winner.Operator, "winner")
		is.Equal(lost.Lost.Differs, []FieldDiff{{Path: "rules.relays", Current: "3", Wanted: "4"}})
	})
}

func TestUnresponsivePlatformLeavesAChangeUnknown(t *testing.T) {
	withService(t, func(ctx context.Context, is *is.I, p *objstoretest.Platform, c operatorClient) {
		c.client.SetDown(true)
		is.Equal(c.editor.Change(ctx, alter(1, 3, "x")).Status, Refused) // it was not sent
		c.client.SetDown(false)

		c.client.DelayNextWrites(1)
		c.client.SetLatency(time.Second)
		time.AfterFunc(2500*time.Millisecond, func() { c.client.SetDown(true) })
		start := time.Now()
		r := c.editor.Change(ctx, alter(1, 3, "x"))
		is.Equal(r.Status, Unknown)
		is.True(time.Since(start) <= DefaultConfig().ChangeTimeout.Std())
		p.ApplyDelayedWrites()
		c.clearFaults()
		s, err := c.editor.Read(ctx, "a")
		is.NoErr(err)
		is.Equal(s.Service.Change.ID, r.ChangeID) // the change was made, as its id in the object proves
	})
}

func TestDropKeepsVersionsGrowing(t *testing.T) {
	withService(t, func(ctx context.Context, is *is.I, p *objstoretest.Platform, c operatorClient) {
		drop := Request{Verb: Drop, Service: Service{Name: "a"}, Version: 1}
		is.Equal(c.editor.Change(ctx, drop).Version, uint64(2))
		is.Equal(c.editor.Change(ctx, alter(2, 3, "x")).Status, Refused) // the service is dropped
		s, _, err := emptyState().apply(batch{complete: p.Revision(), full: true, objects: p.Objects(objstore.KindService)})
		is.NoErr(err)
		is.Equal(len(s.view.services), 0)
		again := c.editor.Change(ctx, Request{Verb: Create, Service: testService("a")})
		is.Equal(again.Version, uint64(3))
	})
}

func TestDryRunChangesNothing(t *testing.T) {
	withService(t, func(ctx context.Context, is *is.I, p *objstoretest.Platform, c operatorClient) {
		req := alter(1, 3, "x")
		req.DryRun = true
		r := c.editor.Change(ctx, req)
		is.Equal(r.Status, Possible)
		is.Equal(r.Changes, []FieldDiff{{Path: "rules.relays", Wanted: "3"}})
		is.Equal(p.Revision(), uint64(1))
		req.Service.Targets = nil
		is.Equal(c.editor.Change(ctx, req).Status, Refused)
	})
}

func TestReadOfAMissingServiceFails(t *testing.T) {
	is := is.New(t)
	p := objstoretest.New()
	_, err := newOperatorClient(p).editor.Read(t.Context(), "a")
	is.True(errors.Is(err, objstore.ErrNotFound))
	is.Equal(fmt.Sprint(errorMessages(err)), "["+err.Error()+"]")
}
