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

// heldView is a View of a configuration given by the test.
type heldView struct{ *view }

func (v heldView) Service(name string) (Service, bool)  { return v.service(name) }
func (v heldView) Services() []Service                  { return v.services }
func (v heldView) Workload(name string) []Service       { return v.workloads[name] }
func (v heldView) Snapshots(workload string) []Snapshot { return v.snapshots[workload] }
func (v heldView) Revision() uint64                     { return 0 }

func newEditor(c *objstoretest.Client, v *view) *Editor {
	return &Editor{cfg: DefaultConfig(), store: c, view: heldView{v}, log: event.Discard(), changes: newMetrics(nil).changes}
}

// console is an operator with a client that takes faults.
type console struct {
	client *objstoretest.Client
	editor *Editor
}

func newConsole(p *objstoretest.Platform) console {
	c := p.Client()
	return console{c, newEditor(c, &view{})}
}

// fault is what happens to an operator's next calls.
type fault struct {
	kind  string
	calls int
}

func (c console) apply(f fault) {
	switch f.kind {
	case "answers lost":
		c.client.LoseNextAnswers(f.calls)
	case "requests lost":
		c.client.LoseNextRequests(f.calls)
	case "late":
		c.client.HoldNextWrites(f.calls)
	case "slow":
		c.client.SetLatency(time.Duration(f.calls) * time.Second)
	case "down":
		c.client.Outage(true)
	}
}

func (c console) heal() {
	c.client.LoseNextAnswers(0)
	c.client.LoseNextRequests(0)
	c.client.HoldNextWrites(0)
	c.client.SetLatency(0)
	c.client.Outage(false)
}

// round is one request of each operator, all made at once.
type round struct {
	faults       []fault
	requests     []Request // whose version is set when they are made
	releaseEarly bool      // late writes take effect while the operators wait
	releaseLate  bool
}

const operators = 3

func drawRound(t *rapid.T) round {
	r := round{releaseEarly: rapid.Bool().Draw(t, "release early"), releaseLate: rapid.Bool().Draw(t, "release late")}
	for range operators {
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

// run makes the requests of a round and returns what the operators were told.
func (r round) run(ctx context.Context, p *objstoretest.Platform, consoles []console) []Result {
	results := make([]Result, operators)
	var wg sync.WaitGroup
	for i, c := range consoles {
		for _, o := range p.Objects(objstore.KindService) {
			r.requests[i].Version = o.Version
		}
		c.apply(r.faults[i])
		wg.Go(func() { results[i] = c.editor.Change(ctx, r.requests[i]) })
	}
	if r.releaseEarly {
		time.Sleep(time.Second)
		p.Release()
	}
	wg.Wait()
	for _, c := range consoles {
		c.heal()
	}
	if r.releaseLate {
		p.Release()
	}
	return results
}

// written returns the writes of the platform's history by change id.
func written(ctx context.Context, p *objstoretest.Platform) map[string][]objstore.Object {
	by := map[string][]objstore.Object{}
	l, err := p.Client().Watch(ctx, revision.Revision{}, 0, kinds...)
	if err != nil {
		panic(err)
	}
	for _, o := range l.Objects {
		id := changeOf(o).ID
		by[id] = append(by[id], o)
	}
	return by
}

// judge holds what an operator was told to what happened.
func judge(r Result, req Request, writes []objstore.Object) error {
	switch {
	case len(writes) > 1:
		return fmt.Errorf("%s was made %d times", r.ChangeID, len(writes))
	case r.Status == Refused && len(writes) != 0:
		return fmt.Errorf("told refused, but it was made: %+v", r)
	case r.Status == Accepted && len(writes) != 1:
		return fmt.Errorf("told accepted, but it was not made: %+v", r)
	case r.Status != Accepted:
		return nil
	}
	o := writes[0]
	switch {
	case o.Version != r.Version || r.Revision != 0 && o.Revision != r.Revision:
		return fmt.Errorf("told version %d revision %d, made at %d and %d", r.Version, r.Revision, o.Version, o.Revision)
	case req.Verb != Create && o.Version != req.Version+1:
		return fmt.Errorf("made over version %d, the operator read %d", o.Version-1, req.Version)
	}
	return nil
}

// TestOperatorsAreToldTheTruth lets three operators race on one service while
// requests and answers are lost, late and slow.
func TestOperatorsAreToldTheTruth(t *testing.T) {
	seen := map[Status]int{}
	rapid.Check(t, func(rt *rapid.T) {
		rounds := rapid.SliceOfN(rapid.Custom(drawRound), 1, 8).Draw(rt, "rounds")
		var problems error
		synctest.Test(t, func(t *testing.T) {
			p := objstoretest.New()
			consoles := []console{newConsole(p), newConsole(p), newConsole(p)}
			var results []Result
			for _, r := range rounds {
				results = append(results, r.run(t.Context(), p, consoles)...)
			}
			p.Release()
			by := written(t.Context(), p)
			for i, r := range results {
				seen[r.Status]++
				problems = errors.Join(problems, judge(r, rounds[i/operators].requests[i%operators], by[r.ChangeID]))
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

// atConsole runs a test with a platform that holds service "a" at version 1.
func atConsole(t *testing.T, test func(ctx context.Context, is *is.I, p *objstoretest.Platform, c console)) {
	synctest.Test(t, func(t *testing.T) {
		p := objstoretest.New()
		c := newConsole(p)
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
	atConsole(t, func(ctx context.Context, is *is.I, p *objstoretest.Platform, c console) {
		c.client.LoseNextAnswers(1)
		r := c.editor.Change(ctx, alter(1, 3, "second"))
		is.Equal(r.Status, Accepted)
		is.Equal(r.Version, uint64(2))
		is.Equal(r.Revision, p.Revision())
	})
}

// TestLostAnswerOfAChangeThatOthersFollowed lets others change the service
// before the operator can read back.
func TestLostAnswerOfAChangeThatOthersFollowed(t *testing.T) {
	for others, want := range map[int]Status{1: Accepted, maxPreviousChanges: Accepted, maxPreviousChanges + 1: Unknown} {
		atConsole(t, func(ctx context.Context, is *is.I, p *objstoretest.Platform, c console) {
			c.client.LoseNextAnswers(1)
			time.AfterFunc(time.Millisecond, func() {
				for i := range others {
					_ = newConsole(p).editor.Change(ctx, alter(uint64(i+2), i, "other"))
				}
			})
			r := c.editor.Change(ctx, alter(1, 3, "second"))
			is.Equal(r.Status, want)
			is.Equal(p.Revision(), uint64(2+others))
			if want == Accepted {
				is.Equal(r.Version, uint64(2))
			}
		})
	}
}

func TestLostRaceTellsWhoWonAndWhatDiffers(t *testing.T) {
	atConsole(t, func(ctx context.Context, is *is.I, p *objstoretest.Platform, c console) {
		won := c.editor.Change(ctx, alter(1, 3, "winner"))
		is.Equal(won.Status, Accepted)
		lost := c.editor.Change(ctx, alter(1, 4, "loser"))
		is.Equal(lost.Status, Refused)
		is.Equal(lost.Lost.Version, uint64(2))
		is.Equal(lost.Lost.Winner.ID, won.ChangeID)
		is.Equal(lost.Lost.Winner.Operator, "winner")
		is.Equal(lost.Lost.Differs, []FieldDiff{{Path: "rules.relays", Stands: "3", Wanted: "4"}})
	})
}

func TestPlatformThatFallsSilentLeavesAChangeUnknown(t *testing.T) {
	atConsole(t, func(ctx context.Context, is *is.I, p *objstoretest.Platform, c console) {
		c.client.Outage(true)
		is.Equal(c.editor.Change(ctx, alter(1, 3, "x")).Status, Refused) // it was not sent
		c.client.Outage(false)

		c.client.HoldNextWrites(1)
		c.client.SetLatency(time.Second)
		time.AfterFunc(2500*time.Millisecond, func() { c.client.Outage(true) })
		start := time.Now()
		r := c.editor.Change(ctx, alter(1, 3, "x"))
		is.Equal(r.Status, Unknown)
		is.True(time.Since(start) <= DefaultConfig().ChangeTimeout.Std())
		p.Release()
		c.heal()
		s, err := c.editor.Read(ctx, "a")
		is.NoErr(err)
		is.Equal(s.Service.Change.ID, r.ChangeID) // it was made, and its id tells
	})
}

func TestDropKeepsVersionsGrowing(t *testing.T) {
	atConsole(t, func(ctx context.Context, is *is.I, p *objstoretest.Platform, c console) {
		drop := Request{Verb: Drop, Service: Service{Name: "a"}, Version: 1}
		is.Equal(c.editor.Change(ctx, drop).Version, uint64(2))
		is.Equal(c.editor.Change(ctx, alter(2, 3, "x")).Status, Refused) // there is none
		s, _, err := emptyState().apply(batch{complete: p.Revision(), full: true, objects: p.Objects(objstore.KindService)})
		is.NoErr(err)
		is.Equal(len(s.view.services), 0)
		again := c.editor.Change(ctx, Request{Verb: Create, Service: testService("a")})
		is.Equal(again.Version, uint64(3))
	})
}

func TestDryRunChangesNothing(t *testing.T) {
	atConsole(t, func(ctx context.Context, is *is.I, p *objstoretest.Platform, c console) {
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

func TestReadTellsWhatIsMissing(t *testing.T) {
	is := is.New(t)
	p := objstoretest.New()
	_, err := newConsole(p).editor.Read(t.Context(), "a")
	is.True(errors.Is(err, objstore.ErrNotFound))
	is.Equal(fmt.Sprint(errorMessages(err)), "["+err.Error()+"]")
}
