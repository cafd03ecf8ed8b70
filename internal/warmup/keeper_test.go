package warmup

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/discovery"
	"rhubarbwood.example/rhubarbwood/internal/event"
	"rhubarbwood.example/rhubarbwood/internal/gateway"
	"rhubarbwood.example/rhubarbwood/internal/objstore"
	"rhubarbwood.example/rhubarbwood/internal/objstore/objstoretest"
	"rhubarbwood.example/rhubarbwood/internal/revision"
)

// fakeTargets provides cold targets until they have a permit.
type fakeTargets struct {
	state      *discovery.State
	cold       []gateway.ColdTarget
	becameCold chan struct{}
}

func (f *fakeTargets) BecameCold() <-chan struct{} { return f.becameCold }

func (f *fakeTargets) ColdTargets() []gateway.ColdTarget {
	var all []gateway.ColdTarget
	for _, t := range f.cold {
		if _, has := f.state.View().Permits[t.ID]; !has {
			all = append(all, t)
		}
	}
	return all
}

// fakePeers gives a host a fixed turn.
type fakePeers struct {
	turn   int
	writes bool

	mu   sync.Mutex
	sent []discovery.Permit
}

func (f *fakePeers) TurnFor(string) (int, bool) { return f.turn, f.writes }

func (f *fakePeers) TellPermits(_ context.Context, all []discovery.Permit) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent = append(f.sent, all...)
}

// keepers are hosts that write permits to one store.
type keepers struct {
	platform *objstoretest.Platform
	clients  []*objstoretest.Client
	states   []*discovery.State
	peers    []*fakePeers
}

// startKeepers starts a host for each turn; hosts with a negative turn do not write.
func startKeepers(t *testing.T, cold []gateway.ColdTarget, turns ...int) *keepers {
	k := &keepers{platform: objstoretest.New()}
	for range turns {
		k.states = append(k.states, discovery.NewState())
	}
	setRegistryKnown(k.states...)
	for i, turn := range turns {
		client, state := k.platform.Client(), k.states[i]
		peers := &fakePeers{turn: turn, writes: turn >= 0}
		targets := &fakeTargets{state: state, cold: cold, becameCold: make(chan struct{}, 1)}
		keeper := NewKeeper(targets, peers, client, state, event.Discard())
		if err := keeper.Start(t.Context()); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = keeper.Stop(context.Background()) })
		targets.becameCold <- struct{}{}
		k.clients, k.peers = append(k.clients, client), append(k.peers, peers)
	}
	return k
}

// permit returns a host's copy of the permit of a target.
func (k *keepers) permit(host int, target string) discovery.Permit {
	return k.states[host].View().Permits[target]
}

func coldTarget(id string, hosts ...string) gateway.ColdTarget {
	return gateway.ColdTarget{ID: id, MaxPerSecond: 23, Hosts: hosts}
}

// The first host in turn writes the permit and sends it; a host that does not watch the store writes none.
func TestFirstInTurnWritesThePermit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		k := startKeepers(t, []gateway.ColdTarget{coldTarget("i-1", "a", "b")}, 0, 1, -1)
		time.Sleep(writerStagger / 2)
		is.Equal(k.permit(0, "i-1").LimitFor("a"), 10)
		is.Equal(k.permit(0, "i-1").LimitFor("b"), 10)
		is.Equal(k.peers[0].sent, []discovery.Permit{k.permit(0, "i-1")})
		is.Equal(k.permit(1, "i-1"), discovery.Permit{})
		time.Sleep(writerStagger)
		is.Equal(k.permit(1, "i-1"), k.permit(0, "i-1")) // it received no permit, and found it in the store
		is.Equal(k.permit(2, "i-1"), discovery.Permit{})
		is.Equal(len(k.platform.Objects(objstore.KindPermit)), 1)
	})
}

// Hosts that know different sets of hosts write at the same moment, and get the same permit.
func TestOnePermitStands(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		platform := objstoretest.New()
		ctx := t.Context()
		first, err := write(ctx, platform.Client(), discovery.Permit{Target: "i-1", Hosts: []string{"a"}, Each: 21})
		is.NoErr(err)
		second, err := write(ctx, platform.Client(), discovery.Permit{Target: "i-1", Hosts: []string{"b"}, Each: 21})
		is.NoErr(err)
		is.Equal(first, second)
	})
}

// A request to the store or its answer is lost, or the store is down or slow for a while: the permit is found
// later.
func TestPermitIsFoundAfterStoreFailure(t *testing.T) {
	for name, trouble := range map[string]func(c *objstoretest.Client){
		"answer lost":  func(c *objstoretest.Client) { c.LoseNextAnswers(1) },
		"request lost": func(c *objstoretest.Client) { c.LoseNextRequests(1) },
		"store away": func(c *objstoretest.Client) {
			c.SetDown(true)
			time.AfterFunc(time.Second, func() { c.SetDown(false) })
		},
		"store slow": func(c *objstoretest.Client) { c.SetLatency(300 * time.Millisecond) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				k := startKeepers(t, nil, 0)
				trouble(k.clients[0])
				targets := &fakeTargets{state: k.states[0], cold: []gateway.ColdTarget{coldTarget("i-1", "a")}, becameCold: make(chan struct{}, 1)}
				keeper := NewKeeper(targets, k.peers[0], k.clients[0], k.states[0], event.Discard())
				is.NoErr(keeper.Start(t.Context()))
				t.Cleanup(func() { _ = keeper.Stop(context.Background()) })
				targets.becameCold <- struct{}{}
				time.Sleep(3 * time.Second)
				is.Equal(k.permit(0, "i-1").LimitFor("a"), 21)
			})
		})
	}
}

// The store was restored from an older copy, without a permit that other hosts may still use, and this host
// has not observed that: its permit must not apply on any host before the others have stopped using theirs.
func TestPermitWrittenAfterAnUnheardRestoreWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		k := startKeepers(t, nil, 0)
		state, client := k.states[0], k.clients[0]
		k.platform.Restore(k.platform.Backup())
		peers := k.peers[0]
		targets := &fakeTargets{state: state, cold: []gateway.ColdTarget{coldTarget("i-1", "a")}, becameCold: make(chan struct{}, 1)}
		keeper := NewKeeper(targets, peers, client, state, event.Discard())
		is.NoErr(keeper.Start(t.Context()))
		t.Cleanup(func() { _ = keeper.Stop(context.Background()) })
		targets.becameCold <- struct{}{}
		time.Sleep(time.Second)
		state.ApplyTargets(discovery.TargetList{Revision: revision.Revision{Era: 1, Number: 1}}, time.Now())
		time.Sleep(registryKnownFor - time.Second)
		is.Equal(k.permit(0, "i-1"), discovery.Permit{})
		is.Equal(len(peers.sent), 0)
		time.Sleep(2 * time.Second)
		is.Equal(k.permit(0, "i-1").LimitFor("a"), 21)
		is.True(len(peers.sent) > 0)
	})
}

// An object that is not a valid permit is refused, and the target gets no requests while it is cold.
func TestInvalidPermitIsRejected(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{`{}`, `7`, `{"target":"i-2","hosts":["a"],"each":3}`, `{"target":"i-1","hosts":[],"each":3}`, `{"target":"i-1","hosts":["a"],"each":0}`, `{"target":"i-1","hosts":"a","each":3}`} {
		_, err := decode("i-1", objstore.Object{Value: []byte(text)})
		is.True(err != nil)
	}
}

// Permits of targets unregistered long ago are removed from the store, after every host has dropped them. The
// permit of a target that is registered, or was until recently, stays.
func TestPermitsOfTargetsLongGoneAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		k := startKeepers(t, []gateway.ColdTarget{coldTarget("gone", "a"), coldTarget("there", "a")}, 0)
		state := k.states[0]
		state.ApplyTargets(discovery.TargetList{Targets: []discovery.Target{{ID: "gone"}, {ID: "there"}}, Revision: at(1)}, time.Now())
		time.Sleep(time.Second)
		is.Equal(len(k.platform.Objects(objstore.KindPermit)), 2)
		state.ApplyTargets(discovery.TargetList{Targets: []discovery.Target{{ID: "there"}}, Revision: at(2)}, time.Now())
		expire := time.NewTicker(time.Minute)
		defer expire.Stop()
		for range 29 {
			<-expire.C
			state.Expire(time.Now())
		}
		is.Equal(len(state.View().Permits), 2) // the target may register again
		for range 5 {
			<-expire.C
			state.Expire(time.Now())
		}
		is.Equal(len(state.View().Permits), 1)
		is.Equal(len(k.platform.Objects(objstore.KindPermit)), 2) // other hosts may still use it
		time.Sleep(unregisteredRetention)
		left := k.platform.Objects(objstore.KindPermit)
		is.Equal(len(left), 1)
		is.Equal(left[0].Name, "there")
	})
}

// Any object in place of a permit is decoded or refused.
func FuzzPermit(f *testing.F) {
	text, err := json.Marshal(storedPermit{Target: "i-1", Hosts: []string{"a", "b"}, Each: 3})
	if err != nil {
		f.Fatal(err)
	}
	f.Add("i-1", text)
	f.Add("", []byte(`{"hosts":[null],"each":1e9}`))
	f.Fuzz(func(t *testing.T, target string, text []byte) {
		p, err := decode(target, objstore.Object{Value: text})
		if err == nil && (p.Target != target || len(p.Hosts) == 0 || p.Each < 1) {
			t.Fatalf("read %+v", p)
		}
	})
}

// at returns a revision of a store that sends no era.
func at(number uint64) revision.Revision { return revision.Revision{Number: number} }

// registryKnownFor is how long hosts have had the registry when targets become cold: longer than it takes
// until permits may be written.
const registryKnownFor = 5 * time.Second

// setRegistryKnown gives hosts the registry and waits for registryKnownFor.
func setRegistryKnown(states ...*discovery.State) {
	for _, state := range states {
		state.ApplyTargets(discovery.TargetList{Revision: at(1)}, time.Now())
	}
	time.Sleep(registryKnownFor)
}
