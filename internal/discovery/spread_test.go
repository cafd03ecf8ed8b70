package discovery

import (
	"context"
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/event"
	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/peer"
	"rhubarbwood.example/rhubarbwood/internal/peer/peerpb"
)

// fixedMembers is a membership that does not change.
type fixedMembers struct {
	self  member.Host
	hosts []member.Host
}

func (m fixedMembers) Self() member.Host    { return m.self }
func (m fixedMembers) Hosts() []member.Host { return m.hosts }
func (m fixedMembers) Count() int           { return len(m.Hosts()) }

func (m fixedMembers) Generation() uint64 { return 1 }

// socketHost is a host's exchange over loopback.
type socketHost struct {
	host   member.Host
	server *peer.Server
	pool   *peer.Pool
	state  *State
	spread *Exchange
}

// startHosts starts hosts that have each other as members.
func startHosts(t *testing.T, n int) []*socketHost {
	t.Helper()
	var all []*socketHost
	var hosts []member.Host
	for i := range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		h := &socketHost{server: peer.NewServer(""), pool: peer.NewPool(), state: NewState()}
		h.server.UseListener(ln)
		h.host = member.Host{
			ID: string(rune('a' + i)), FailureDomain: "salt-lake", PeerAddress: ln.Addr().String(), State: member.Alive,
		}
		all, hosts = append(all, h), append(hosts, h.host)
	}
	for _, h := range all {
		h.spread = NewExchange(DefaultConfig(), fixedMembers{self: h.host, hosts: hosts}, h.pool, h.state)
		if err := h.spread.Register(h.server); err != nil {
			t.Fatal(err)
		}
		if err := h.server.Start(t.Context()); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			_ = h.pool.Stop(context.Background())
			_ = h.server.Stop(context.Background())
		})
	}
	return all
}

// splitWatcher returns the one watching host and the others.
func splitWatcher(t *testing.T, all []*socketHost) (watcher *socketHost, followers []*socketHost) {
	t.Helper()
	for _, h := range all {
		if h.spread.Watches() {
			watcher = h
			continue
		}
		followers = append(followers, h)
	}
	if watcher == nil || len(followers) != len(all)-1 {
		t.Fatalf("%d of %d hosts follow", len(followers), len(all))
	}
	return watcher, followers
}

func TestUpdateOverSockets(t *testing.T) {
	is := is.New(t)
	watcher, followers := splitWatcher(t, startHosts(t, 3))
	now := time.Now()
	watcher.state.ApplyConfig(configRead(7, 3), now.Add(-time.Second))
	watcher.state.ApplyChanges(TargetChanges{Changes: []TargetChange{{Target: Target{
		ID: "i-1", Service: "s", Address: "10.1.0.1:80", Domain: "salt-lake", Slots: 2, Draining: true, Warmup: time.Second,
	}}}, Revision: at(4)}, now)
	f := followers[0]
	update, err := f.spread.Poll(t.Context(), f.state.Cursor(), time.Minute)
	is.NoErr(err)
	f.state.ApplyUpdate(update)
	table, asOf := f.state.Table()
	is.Equal(table.Config.Version, uint64(7))
	is.True(time.Since(asOf) >= time.Second) // the age is sent, too
	received, cached := f.state.View().Targets, watcher.state.View().Targets
	is.True(!received[0].ColdUntil.Before(cached[0].ColdUntil)) // transit makes the end later, never earlier
	is.True(!received[0].ColdUntil.After(time.Now().Add(time.Second)))
	received[0].ColdUntil = cached[0].ColdUntil
	is.Equal(received, cached)
	is.Equal(f.state.Cursor(), watcher.state.Cursor())
}

func TestFindingsReachEveryHost(t *testing.T) {
	is := is.New(t)
	watcher, followers := splitWatcher(t, startHosts(t, 3))
	delivered := make(chan Finding, 10)
	watcher.state.OnFindings(func(all []Finding) { delivered <- all[0] })
	finding := Finding{Target: "i-1", Bad: true, Latency: 80 * time.Millisecond, Failures: 0.5, Domain: "salt-lake"}
	followers[0].spread.SendFindings(t.Context(), []Finding{finding})
	is.Equal((<-delivered).Target, "i-1")

	update, err := followers[1].spread.Poll(t.Context(), Cursor{}, time.Minute)
	is.NoErr(err)
	is.Equal(len(update.Findings), 1)
	is.True(update.Findings[0].Age >= 0)
	update.Findings[0].Age = 0
	is.Equal(update.Findings[0], finding)

	update, err = followers[1].spread.Poll(t.Context(), Cursor{}, time.Millisecond)
	is.NoErr(err)
	is.Equal(len(update.Findings), 0) // each finding is sent once
}

// If the watching host has no state, every second poll goes to another host.
func TestAnotherHostIsPolledWhenTheWatcherHasNoState(t *testing.T) {
	is := is.New(t)
	_, followers := splitWatcher(t, startHosts(t, 3))
	informed, polling := followers[0], followers[1]
	informed.state.ApplyConfig(configRead(7, 3), time.Now())
	informed.state.ApplyTargets(TargetList{Revision: at(3)}, time.Now())
	for range 2 {
		update, err := polling.spread.Poll(t.Context(), polling.state.Cursor(), time.Millisecond)
		is.NoErr(err)
		polling.state.ApplyUpdate(update)
	}
	table, _ := polling.state.Table()
	is.True(table != nil)
}

// A watching host that the store refuses gets updates from a host that the store serves.
func TestWatcherPollsTheOthers(t *testing.T) {
	is := is.New(t)
	watcher, followers := splitWatcher(t, startHosts(t, 2))
	followers[0].state.ApplyConfig(configRead(7, 3), time.Now())
	followers[0].state.ApplyTargets(TargetList{Revision: at(3)}, time.Now())
	store := newFakeStore()
	store.set(func() { store.unavailable = true })
	f := NewFollower(DefaultConfig(), store, watcher.spread, watcher.state, event.Discard(), nil)
	is.NoErr(f.Start(t.Context()))
	defer func() { is.NoErr(f.Stop(context.Background())) }()
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if table, _ := watcher.state.Table(); table != nil {
			return
		}
	}
	t.Error("the watching host got no configuration from its peer")
}

func TestExpiredFindingsAreNotPassedOn(t *testing.T) {
	is := is.New(t)
	f := newFindings()
	now := time.Now()
	f.add(now, []Finding{{Target: "old", Age: findingTTL}, {Target: "new"}})
	is.Equal(len(f.since(now, f.epoch, 0)), 1)
	is.Equal(len(f.since(now, f.epoch+1, 9)), 1) // number 9 is of another process
	is.Equal(len(f.since(now, f.epoch, f.lastNumber)), 0)
	for range maxFindings + 1 {
		f.add(now, []Finding{{Target: "more"}})
	}
	is.Equal(len(f.recent), maxFindings)
}

// A peer's clock may have counted a suspension that this host's clock did not. State in its reply
// is dated at the arrival of the reply at the latest. With a later time it would count as current,
// and targets as cold, for the whole difference.
func TestReplyTimesAreNotInTheFuture(t *testing.T) {
	is := is.New(t)
	requestedAt := time.Now()
	receivedAt := requestedAt.Add(200 * time.Millisecond)
	n, err := decodeReply(&peerpb.FollowReply{
		HeldUs: (17 * time.Second).Microseconds(), RegistryRevision: 7, ConfigRevision: 7, EvacuationRevision: 7, OutageAgeUs: neverAge,
		Evacuations: &peerpb.Evacuations{Ended: []*peerpb.EvacuationEnd{{FailureDomain: "a"}}},
	}, requestedAt, receivedAt)
	is.NoErr(err)
	for _, at := range []time.Time{n.RegistryAsOf, n.ConfigAsOf, n.EvacuationsAsOf, n.EvacuationEnds["a"]} {
		is.True(!at.After(receivedAt))
	}
}

// All hosts of a failure domain have just started, so none of them has what a restore of the store
// has lost. A host that starts there must also query an established host of another domain.
func TestContactsIncludeAnEstablishedHost(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	started := func(id, domain string, ago time.Duration) member.Host {
		return member.Host{ID: id, FailureDomain: domain, PeerAddress: id, State: member.Alive, Incarnation: uint64(now.Add(-ago).UnixNano())}
	}
	self := started("self", "a", 0)
	members := fixedMembers{self: self, hosts: []member.Host{self, started("elder", "b", time.Hour)}}
	for i := range 2 * maxContacts {
		members.hosts = append(members.hosts, started(fmt.Sprint("young", i), "a", time.Second))
	}
	s := NewExchange(DefaultConfig(), members, nil, NewState())
	is.True(slices.Contains(s.BootstrapContacts(), "elder"))
}
