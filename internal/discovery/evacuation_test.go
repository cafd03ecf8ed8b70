package discovery

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"rhubarbwood.example/rhubarbwood/internal/revision"
	"rhubarbwood.example/rhubarbwood/internal/unit"
)

// evacuationLog is the evacuations of a store with their whole history.
type evacuationLog struct {
	revision uint64
	events   []revisedEvacuation
}

// revisedEvacuation is the beginning or the end of an evacuation at a revision.
type revisedEvacuation struct {
	revision uint64
	change   EvacuationChange
}

func (l *evacuationLog) write(revision uint64, domain string, ended bool) {
	l.revision = revision
	l.events = append(l.events, revisedEvacuation{revision, EvacuationChange{Domain: domain, Ended: ended}})
}

// at returns the domains that were evacuated at a revision.
func (l *evacuationLog) at(revision uint64) []string {
	on := map[string]bool{}
	for _, e := range l.events {
		if e.revision <= revision {
			on[e.change.Domain] = !e.change.Ended
		}
	}
	var domains []string
	for domain, evacuated := range on {
		if evacuated {
			domains = append(domains, domain)
		}
	}
	slices.Sort(domains)
	return domains
}

// since returns the changes after a revision, up to another.
func (l *evacuationLog) since(after, to uint64) EvacuationChanges {
	changes := EvacuationChanges{Revision: at(to)}
	for _, e := range l.events {
		if e.revision > after && e.revision <= to {
			changes.Changes = append(changes.Changes, e.change)
		}
	}
	return changes
}

// evacuate begins or ends an evacuation.
func (f *fakeStore) evacuate(domain string, ended bool) {
	f.set(func() {
		f.revision++
		f.evacuations.write(f.revision, domain, ended)
	})
}

func (f *fakeStore) Evacuations(context.Context) (EvacuationRead, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	err := f.countCall()
	return EvacuationRead{Domains: f.evacuations.at(f.revision), Revision: f.at(f.revision)}, err
}

func (f *fakeStore) WatchEvacuations(ctx context.Context, since revision.Revision, wait time.Duration) (EvacuationChanges, error) {
	reached, err := f.wait(ctx, since, wait)
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.evacuations.since(since.Number, reached), err
}

// evacuationConfig returns settings with evacuations enabled.
func evacuationConfig() Config {
	cfg := DefaultConfig()
	cfg.EvacuateWithin = unit.Duration(3 * time.Second)
	return cfg
}

// A host applies the beginning and the end of an evacuation well within the bound, also after an
// outage of the store and after the store has compacted its history.
func TestEvacuationsAreFollowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newFakeStore()
		store.write(1)
		store.evacuate("a", false)
		state, stop := startFollowerWith(t, evacuationConfig(), store, nil)
		defer stop()
		time.Sleep(time.Second)
		is.Equal(state.Evacuations(), []string{"a"})
		store.evacuate("b", false)
		time.Sleep(time.Second)
		is.Equal(state.Evacuations(), []string{"a", "b"})
		store.set(func() { store.unavailable = true })
		time.Sleep(2 * time.Second)
		store.set(func() { store.unavailable = false })
		store.evacuate("a", true)
		time.Sleep(time.Second)
		is.Equal(state.Evacuations(), []string{"b"})
		store.evacuate("b", true)
		store.evacuate("a", false)
		store.set(func() { store.compactedTo = store.revision })
		time.Sleep(time.Second)
		is.Equal(state.Evacuations(), []string{"a"})
	})
}

// Until the evacuations have been read, the views say so and the state does not count as complete.
func TestUnknownEvacuationsAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := NewState()
		s.evacuations.enabled = true
		now := time.Now()
		s.ApplyConfig(ConfigRead{Config: configVersion(1), Found: true, Revision: at(1)}, now)
		s.ApplyTargets(TargetList{Revision: at(1)}, now)
		is.True(s.View().EvacuationsUnknown)
		is.True(s.Freshness().IsZero())
		var views []View
		s.Subscribe(func(v View) { views = append(views, v) })
		s.ApplyEvacuations(EvacuationRead{Revision: at(1)}, now)
		is.Equal(len(views), 1) // although no domain is evacuated
		is.True(!views[0].EvacuationsUnknown)
		is.True(!s.Freshness().IsZero())
	})
}

// With evacuations disabled no store call is made for them.
func TestEvacuationsAreNotReadWithoutABound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newFakeStore()
		store.write(1)
		state, stop := startFollower(t, store, nil)
		defer stop()
		time.Sleep(time.Second)
		is.True(!state.View().EvacuationsUnknown)
		is.True(!state.Freshness().IsZero())
		is.Equal(store.callCount(), 4) // a read and a watch of the configuration and of the registry
	})
}

// Reads, watches and updates of peers, late ones included, come in any order, and hosts restart. A
// host at a revision has exactly those domains evacuated that were evacuated at that revision.
func TestEvacuationsMatchTheCachedRevision(t *testing.T) {
	domains := []string{"a", "b"}
	rapid.Check(t, func(t *rapid.T) {
		log := &evacuationLog{}
		revision := uint64(1)
		hosts := make([]*State, 3)
		inFlight := make([]Update, len(hosts))
		watched := make([]EvacuationChanges, len(hosts))
		for i := range hosts {
			hosts[i] = NewState()
		}
		draw := func(t *rapid.T, label string) int { return rapid.IntRange(0, len(hosts)-1).Draw(t, label) }
		receive := func(i int) {
			hosts[i].ApplyUpdate(inFlight[i])
			inFlight[i] = Update{}
		}
		poll := func(t *rapid.T) int {
			i := draw(t, "host")
			inFlight[i], _ = hosts[draw(t, "peer")].updateSince(hosts[i].Cursor())
			return i
		}
		watch := func(t *rapid.T) int {
			i := draw(t, "host")
			if after := hosts[i].Cursor().EvacuationRevision.Number; after > 0 {
				watched[i] = log.since(after, revision)
			}
			return i
		}
		t.Repeat(map[string]func(*rapid.T){
			"evacuate": func(t *rapid.T) {
				revision++
				log.write(revision, rapid.SampledFrom(domains).Draw(t, "domain"), rapid.Bool().Draw(t, "ended"))
			},
			"other change": func(*rapid.T) { revision++ },
			"start": func(t *rapid.T) {
				i := draw(t, "host")
				hosts[i], inFlight[i], watched[i] = NewState(), Update{}, EvacuationChanges{}
			},
			"read": func(t *rapid.T) {
				read := EvacuationRead{Domains: log.at(revision), Revision: at(revision)}
				hosts[draw(t, "host")].ApplyEvacuations(read, time.Now())
			},
			"ask":  func(t *rapid.T) { poll(t) },
			"hear": func(t *rapid.T) { receive(draw(t, "host")) },
			"told": func(t *rapid.T) { receive(poll(t)) },
			"wait": func(t *rapid.T) { watch(t) },
			"watched": func(t *rapid.T) {
				if i := watch(t); watched[i].Revision.Number > 0 {
					hosts[i].ApplyEvacuationChanges(watched[i], time.Now())
				}
			},
			"watched late": func(t *rapid.T) {
				if i := draw(t, "host"); watched[i].Revision.Number > 0 {
					hosts[i].ApplyEvacuationChanges(watched[i], time.Now())
				}
			},
			"": func(t *rapid.T) {
				for i, host := range hosts {
					cached := host.Cursor().EvacuationRevision.Number
					if cached == 0 {
						continue
					}
					if got := host.Evacuations(); !slices.Equal(got, log.at(cached)) {
						t.Fatalf("host %d at revision %d of %d has %v evacuated, the store had %v", i, cached, revision, got, log.at(cached))
					}
				}
			},
		})
	})
}
