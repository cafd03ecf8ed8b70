package catalog

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"rhubarbwood.example/rhubarbwood/internal/event"
	"rhubarbwood.example/rhubarbwood/internal/platform"
	"rhubarbwood.example/rhubarbwood/internal/platform/platformtest"
)

// heldView is a View of a configuration given by the test.
type heldView struct{ *view }

func (v heldView) Service(name string) (Service, bool)  { return v.service(name) }
func (v heldView) Services() []Service                  { return v.services }
func (v heldView) Workload(name string) []Service       { return v.workloads[name] }
func (v heldView) Snapshots(workload string) []Snapshot { return v.snapshots[workload] }
func (v heldView) Revision() uint64                     { return 0 }

func newEditor(c *platformtest.Client, v *view) *Editor {
	return &Editor{cfg: DefaultConfig(), store: c, view: heldView{v}, log: event.Discard(), changes: newMetrics(nil).changes}
}

// desk is an operator with a client that takes faults.
type desk struct {
	client *platformtest.Client
	editor *Editor
}

func newDesk(p *platformtest.Platform) desk {
	c := p.Client()
	return desk{c, newEditor(c, &view{})}
}

// fault is what happens to an operator's next calls.
type fault struct {
	kind  string
	calls int
}

func (d desk) apply(f fault) {
	switch f.kind {
	case "answers lost":
		d.client.LoseNextAnswers(f.calls)
	case "requests lost":
		d.client.LoseNextRequests(f.calls)
	case "late":
		d.client.HoldNextWrites(f.calls)
	case "slow":
		d.client.SetLatency(time.Duration(f.calls) * time.Second)
	case "down":
		d.client.Outage(true)
	}
}

func (d desk) heal() {
	d.client.LoseNextAnswers(0)
	d.client.LoseNextRequests(0)
	d.client.HoldNextWrites(0)
	d.client.SetLatency(0)
	d.client.Outage(false)
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
func (r round) run(ctx context.Context, p *platformtest.Platform, desks []desk) []Result {
	results := make([]Result, operators)
	var wg sync.WaitGroup
	for i, d := range desks {
		for _, o := range p.Objects(platform.KindService) {
			r.requests[i].Version = o.Version
		}
		d.apply(r.faults[i])
		wg.Go(func() { results[i] = d.editor.Change(ctx, r.requests[i]) })
	}
	if r.releaseEarly {
		time.Sleep(time.Second)
		p.Release()
	}
	wg.Wait()
	for _, d := range desks {
		d.heal()
	}
	if r.releaseLate {
		p.Release()
	}
	return results
}

// written returns the writes of the platform's history by change id.
func written(ctx context.Context, p *platformtest.Platform) map[string][]platform.Object {
	by := map[string][]platform.Object{}
	l, err := p.Client().Watch(ctx, 0, 0, kinds...)
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
func judge(r Result, req Request, writes []platform.Object) error {
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
			p := platformtest.New()
			desks := []desk{newDesk(p), newDesk(p), newDesk(p)}
			var results []Result
			for _, r := range rounds {
				results = append(results, r.run(t.Context(), p, desks)...)
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

// atDesk runs a test with a platform that holds service "a" at version 1.
func atDesk(t *testing.T, test func(ctx context.Context, is *is.I, p *platformtest.Platform, d desk)) {
	synctest.Test(t, func(t *testing.T) {
		p := platformtest.New()
		d := newDesk(p)
		is := is.New(t)
		r := d.editor.Change(t.Context(), Request{Verb: Create, Service: testService("a"), Author: Author{Operator: "first"}})
		is.Equal(r.Status, Accepted)
		is.Equal(r.Version, uint64(1))
		test(t.Context(), is, p, d)
	})
}

func alter(version uint64, relays int, by string) Request {
	s := testService("a")
	s.Rules.Relays = relays
	return Request{Verb: Alter, Service: s, Version: version, Author: Author{Operator: by, Reason: "test"}}
}

func TestLostAnswerOfAnAcceptedChange(t *testing.T) {
	atDesk(t, func(ctx context.Context, is *is.I, p *platformtest.Platform, d desk) {
		d.client.LoseNextAnswers(1)
		r := d.editor.Change(ctx, alter(1, 3, "second"))
		is.Equal(r.Status, Accepted)
		is.Equal(r.Version, uint64(2))
		is.Equal(r.Revision, p.Revision())
	})
}

// TestLostAnswerOfAChangeThatOthersFollowed lets others change the service
// before the operator can read back.
func TestLostAnswerOfAChangeThatOthersFollowed(t *testing.T) {
	for others, want := range map[int]Status{1: Accepted, maxPrevious: Accepted, maxPrevious + 1: Unknown} {
		atDesk(t, func(ctx context.Context, is *is.I, p *platformtest.Platform, d desk) {
			d.client.LoseNextAnswers(1)
			time.AfterFunc(time.Millisecond, func() {
				for i := range others {
					_ = newDesk(p).editor.Change(ctx, alter(uint64(i+2), i, "other"))
				}
			})
			r := d.editor.Change(ctx, alter(1, 3, "second"))
			is.Equal(r.Status, want)
			is.Equal(p.Revision(), uint64(2+others))
			if want == Accepted {
				is.Equal(r.Version, uint64(2))
			}
		})
	}
}

func TestLostRaceTellsWhoWonAndWhatDiffers(t *testing.T) {
	atDesk(t, func(ctx context.Context, is *is.I, p *platformtest.Platform, d desk) {
		won := d.editor.Change(ctx, alter(1, 3, "winner"))
		is.Equal(won.Status, Accepted)
		lost := d.editor.Change(ctx, alter(1, 4, "loser"))
		is.Equal(lost.Status, Refused)
		is.Equal(lost.Lost.Version, uint64(2))
		is.Equal(lost.Lost.Winner.ID, won.ChangeID)
		is.Equal(lost.Lost.Winner.Operator, "winner")
		is.Equal(lost.Lost.Differs, []FieldDiff{{Path: "rules.relays", Stands: "3", Wanted: "4"}})
	})
}

func TestPlatformThatFallsSilentLeavesAChangeUnknown(t *testing.T) {
	atDesk(t, func(ctx context.Context, is *is.I, p *platformtest.Platform, d desk) {
		d.client.Outage(true)
		is.Equal(d.editor.Change(ctx, alter(1, 3, "x")).Status, Refused) // it was not sent
		d.client.Outage(false)

		d.client.HoldNextWrites(1)
		d.client.SetLatency(time.Second)
		time.AfterFunc(2500*time.Millisecond, func() { d.client.Outage(true) })
		start := time.Now()
		r := d.editor.Change(ctx, alter(1, 3, "x"))
		is.Equal(r.Status, Unknown)
		is.True(time.Since(start) <= DefaultConfig().ChangeTimeout.Std())
		p.Release()
		d.heal()
		s, err := d.editor.Read(ctx, "a")
		is.NoErr(err)
		is.Equal(s.Service.Change.ID, r.ChangeID) // it was made, and its id tells
	})
}

func TestDropKeepsVersionsGrowing(t *testing.T) {
	atDesk(t, func(ctx context.Context, is *is.I, p *platformtest.Platform, d desk) {
		drop := Request{Verb: Drop, Service: Service{Name: "a"}, Version: 1}
		is.Equal(d.editor.Change(ctx, drop).Version, uint64(2))
		is.Equal(d.editor.Change(ctx, alter(2, 3, "x")).Status, Refused) // there is none
		s, _, err := emptyState().apply(batch{complete: p.Revision(), full: true, objects: p.Objects(platform.KindService)})
		is.NoErr(err)
		is.Equal(len(s.view.services), 0)
		again := d.editor.Change(ctx, Request{Verb: Create, Service: testService("a")})
		is.Equal(again.Version, uint64(3))
	})
}

func TestDryRunChangesNothing(t *testing.T) {
	atDesk(t, func(ctx context.Context, is *is.I, p *platformtest.Platform, d desk) {
		req := alter(1, 3, "x")
		req.DryRun = true
		r := d.editor.Change(ctx, req)
		is.Equal(r.Status, Possible)
		is.Equal(r.Changes, []FieldDiff{{Path: "rules.relays", Wanted: "3"}})
		is.Equal(p.Revision(), uint64(1))
		req.Service.Targets = nil
		is.Equal(d.editor.Change(ctx, req).Status, Refused)
	})
}

func TestPublishAndRetireSnapshots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := platformtest.New()
		a := testService("a")
		held := func(snapshots ...Snapshot) *view {
			entries := []*entry{{object: platform.Object{Kind: platform.KindService, Name: "a"}, service: &a}}
			for _, s := range snapshots {
				o := platform.Object{Kind: platform.KindSnapshot, Name: s.ObjectName()}
				entries = append(entries, &entry{object: o, snapshot: &s})
			}
			return emptyState().view.with(entries)
		}
		c := p.Client()
		one, two := testSnapshot(1, 6, a), testSnapshot(2, 6, a)
		c.LoseNextAnswers(1)
		r := newEditor(c, held()).PublishSnapshot(t.Context(), one, Author{}, false)
		is.Equal(r.Status, Accepted)
		is.Equal(r.Revision, uint64(1))
		is.Equal(newEditor(c, held(one)).PublishSnapshot(t.Context(), one, Author{}, false).Status, Refused) // ids grow
		is.Equal(newEditor(c, held()).PublishSnapshot(t.Context(), one, Author{}, false).Lost.Winner.ID, r.ChangeID)

		editor := newEditor(c, held(one, two))
		is.Equal(editor.RetireSnapshot(t.Context(), "portal", 2, Author{}, false).Status, Refused) // the newest
		c.LoseNextAnswers(1)
		r = editor.RetireSnapshot(t.Context(), "portal", 1, Author{}, false)
		is.Equal(r.Status, Accepted)
		is.Equal(r.Revision, uint64(2))
		is.Equal(editor.RetireSnapshot(t.Context(), "portal", 1, Author{}, false).Status, Refused) // gone already
	})
}

func TestValidationReportsEveryProblem(t *testing.T) {
	is := is.New(t)
	is.NoErr(ValidateService(testService("a")))
	s := testService("a")
	s.Name, s.Urgency = "No Name", "soon"
	s.Targets[0].Address, s.Targets[1].Slots, s.Targets[2].ID = "nowhere", 0, s.Targets[1].ID
	s.Rules.HedgeQuantile, s.Rules.LatencyRatio, s.Rules.QueueWait = 1, 2, -1
	got := messages(ValidateService(s))
	is.Equal(len(got), 8)

	a := testService("a")
	good := testSnapshot(1, 3, a)
	is.NoErr(ValidateSnapshot(good, []Service{a}))
	bad := testSnapshot(0, 3, a, testService("b"))
	bad.Services["a"].Shards[0] = nil
	bad.Services["a"].Shards[1][0] = "stranger"
	got = messages(ValidateSnapshot(bad, []Service{a, testService("c")}))
	want := []string{"id: want more than 0", "no target holds it", "not a target", "there is no such service", "is missing, though"}
	is.Equal(len(got), len(want))
	for _, w := range want {
		is.True(strings.Contains(strings.Join(got, "\n"), w))
	}
}

func TestDefaultsFillZeroRules(t *testing.T) {
	is := is.New(t)
	is.Equal(Rules{}.filled(), DefaultRules())
	is.Equal(Rules{HedgeBudget: -1}.filled().HedgeBudget, -1.0)
	is.NoErr(DefaultConfig().Validate())
	is.Equal(len(strings.Split(Config{}.Validate().Error(), "\n")), 7)
}

// TestDiffNamesExactlyWhatChanged alters one field of a service at a time.
func TestDiffNamesExactlyWhatChanged(t *testing.T) {
	is := is.New(t)
	base := testService("a")
	changes := map[string]func(*Service){
		"workload":            func(s *Service) { s.Workload = "other" },
		"rules.relays":        func(s *Service) { s.Rules.Relays = 3 },
		"targets[a-t1].slots": func(s *Service) { s.Targets[1].Slots = 9 },
		"targets[a-t2]":       func(s *Service) { s.Targets = s.Targets[:2] },
		"":                    func(s *Service) { s.Change.ID = "other" }, // who wrote it differs always
	}
	for path, change := range changes {
		s := testService("a")
		change(&s)
		var paths []string
		for _, d := range diffJSON(encode(base), encode(s)) {
			paths = append(paths, d.Path)
		}
		is.Equal(strings.Join(paths, " "), path)
	}
	is.Equal(len(diffJSON([]byte("{"), encode(base))), 1)
}

func TestReadTellsWhatIsMissing(t *testing.T) {
	is := is.New(t)
	p := platformtest.New()
	_, err := newDesk(p).editor.Read(t.Context(), "a")
	is.True(errors.Is(err, platform.ErrNotFound))
	is.Equal(fmt.Sprint(messages(err)), "["+err.Error()+"]")
}
