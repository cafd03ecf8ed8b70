package discovery

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
	"google.golang.org/protobuf/proto"
	"storj.io/drpc"

	"rhubarbwood.example/rhubarbwood/internal/event"
	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/objstore/objstoretest"
	"rhubarbwood.example/rhubarbwood/internal/peer/peerpb"
	"rhubarbwood.example/rhubarbwood/internal/routing"
	"rhubarbwood.example/rhubarbwood/internal/unit"
)

// Constants of the fleet in the tests below: the real membership and discovery of many hosts in
// virtual time, over a network that counts bytes and a store that counts calls.
const (
	fleetDomains      = 5
	fleetTargets      = 280
	targetsPerPage    = 50                     // registrations returned by one call to the store
	storeCallTime     = 4 * time.Millisecond   // duration of one call
	networkDelay      = 900 * time.Microsecond // one way
	callOverheadBytes = 150                    // headers and acknowledgements of a call
)

var errNoHost = errors.New("no host listens")

// simNet is the simulated network between the hosts of a fleet.
type simNet struct {
	mu               sync.Mutex
	hosts            map[string]*simHost // by address
	crossDomainBytes map[string]int      // bytes sent between failure domains, by call
	cfg              *Config             // of the hosts; nil: largeSite
}

// simHost is one host.
type simHost struct {
	net      *simNet
	self     member.Host
	members  *member.Members
	state    *State
	spread   *Exchange
	follower *Follower
	cut      func() // cuts the host off from the store
}

func (n *simNet) host(address string) *simHost {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.hosts[address]
}

// bytes returns the bytes sent between failure domains by calls whose name has the prefix.
func (n *simNet) bytes(prefix string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	sum := 0
	for call, b := range n.crossDomainBytes {
		if strings.HasPrefix(call, prefix) {
			sum += b
		}
	}
	return sum
}

// carry delays one message and counts its bytes.
func (n *simNet) carry(call string, from, to *simHost, m proto.Message) {
	time.Sleep(networkDelay)
	if from.self.FailureDomain == to.self.FailureDomain {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.crossDomainBytes[call] += proto.Size(m) + callOverheadBytes
}

// call makes a call from a host to an address.
func call[In, Out proto.Message](ctx context.Context, name string, from *simHost, address string, in In, serve func(context.Context, *simHost, In) (Out, error)) (Out, error) {
	var none Out
	to := from.net.host(address)
	if to == nil || from.net.host(from.self.PeerAddress) != from { // a killed host can no longer send
		time.Sleep(networkDelay)
		return none, errNoHost
	}
	from.net.carry(name, from, to, in)
	out, err := serve(ctx, to, in)
	if err != nil {
		return none, err
	}
	from.net.carry(name, to, from, out)
	return out, ctx.Err()
}

// Probe implements member.Prober.
func (h *simHost) Probe(ctx context.Context, address string, req *peerpb.ProbeRequest) (*peerpb.ProbeReply, error) {
	return call(ctx, "probe", h, address, req, func(ctx context.Context, to *simHost, in *peerpb.ProbeRequest) (*peerpb.ProbeReply, error) {
		return to.members.Probe(ctx, in)
	})
}

// Conn implements peer.Dialer.
func (h *simHost) Conn(_ context.Context, address string) drpc.Conn { return simConn{h, address} }

// simConn is the drpc.Conn to one host. It supports unary calls only.
type simConn struct {
	from    *simHost
	address string
}

func (simConn) Close() error            { return nil }
func (simConn) Closed() <-chan struct{} { return nil }
func (simConn) NewStream(context.Context, string, drpc.Encoding) (drpc.Stream, error) {
	return nil, errNoHost
}

func (c simConn) Invoke(ctx context.Context, rpc string, _ drpc.Encoding, in, out drpc.Message) error {
	var reply proto.Message
	var err error
	switch req := in.(type) {
	case *peerpb.FollowRequest:
		reply, err = call(ctx, "follow", c.from, c.address, req, func(ctx context.Context, to *simHost, in *peerpb.FollowRequest) (*peerpb.FollowReply, error) {
			return to.spread.Follow(ctx, in)
		})
	case *peerpb.Findings:
		reply, err = call(ctx, "tell", c.from, c.address, req, func(ctx context.Context, to *simHost, in *peerpb.Findings) (*peerpb.FindingsNoted, error) {
			return to.spread.Tell(ctx, in)
		})
	default:
		return fmt.Errorf("call %s is not supported by simConn", rpc)
	}
	if err != nil {
		return err
	}
	proto.Merge(out.(proto.Message), reply)
	return nil
}

// pagedStore is a fakeStore with many targets, whose full list takes several calls.
type pagedStore struct{ *fakeStore }

func (s pagedStore) Targets(ctx context.Context) (TargetList, error) {
	for range (fleetTargets-1)/targetsPerPage + 1 {
		time.Sleep(storeCallTime)
		if _, err := s.fakeStore.Targets(ctx); err != nil {
			return TargetList{}, err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	list := TargetList{Revision: s.at(s.revision)}
	for i := range fleetTargets {
		list.Targets = append(list.Targets, Target{
			ID: fmt.Sprintf("i-%08x", i), Service: fmt.Sprintf("guest-portal-%d", i/3), Address: fmt.Sprintf("10.9.%d.%d:8080", i/250, i%250),
			Domain: fmt.Sprintf("domain-%d", i%3), Slots: 7,
		})
	}
	return list, nil
}

func (s pagedStore) Config(ctx context.Context) (ConfigRead, error) {
	time.Sleep(storeCallTime)
	return s.fakeStore.Config(ctx)
}

// manyRoutes returns a configuration of typical size.
func manyRoutes(v uint64) routing.Config {
	c := configVersion(v)
	for i := range 200 {
		c.Routes = append(c.Routes, routing.Route{Name: fmt.Sprintf("route-%d", i), Host: fmt.Sprintf("h%d.example", i), Prefix: "/a/"})
	}
	return c
}

// startSimFleet starts n hosts over 0.3 s, with settle as their Settle setting.
func startSimFleet(t *testing.T, net *simNet, store Source, n int, settle time.Duration) []*simHost {
	t.Helper()
	all := make([]*simHost, n)
	var started sync.WaitGroup
	for i := range n {
		started.Go(func() {
			time.Sleep(time.Duration(i*37%n) * 300 * time.Millisecond / time.Duration(n))
			all[i] = startSimHost(t, net, store, i, settle)
		})
	}
	started.Wait()
	return all
}

// largeSite returns the settings for hosts of a large site.
func largeSite() Config {
	cfg := DefaultConfig()
	cfg.ApplyWithin, cfg.LeaveWithin = unit.Duration(6*time.Second), unit.Duration(6*time.Second)
	return cfg
}

func simAddress(i int) string { return fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250) }

func startSimHost(t *testing.T, net *simNet, store Source, i int, settle time.Duration) *simHost {
	t.Helper()
	h := &simHost{net: net, state: NewState(), self: member.Host{
		ID: fmt.Sprintf("host-%03d", i), FailureDomain: fmt.Sprintf("domain-%d", i%fleetDomains),
		PeerAddress: simAddress(i), APIAddress: simAddress(i), LinkMbps: 22,
	}}
	if i%20 < fleetDomains {
		h.self.LinkMbps = 200
	}
	members := member.DefaultConfig()
	members.Seeds = []string{simAddress(0), simAddress(1), simAddress(2)}
	members.RecordHolders = 8
	cfg := largeSite()
	if net.cfg != nil {
		cfg = *net.cfg
	}
	cfg.Settle = unit.Duration(settle)
	h.members = member.New(members, h.self, objstoretest.New().Client(), h, event.Discard(), nil)
	h.spread = NewExchange(cfg, h.members, h, h.state)
	h.spread.SetSeeds(members.Seeds)
	way, cut := newCutSource(store)
	h.cut = cut
	h.follower = NewFollower(cfg, way, h.spread, h.state, event.Discard(), nil)
	net.mu.Lock()
	net.hosts[h.self.PeerAddress] = h
	net.mu.Unlock()
	if err := errors.Join(h.members.Start(t.Context()), h.follower.Start(t.Context())); err != nil {
		t.Error(err)
	}
	return h
}

// countReady returns how many hosts can serve.
func countReady(all []*simHost) int {
	n := 0
	for _, h := range all {
		if table, _ := h.state.Table(); table != nil && len(h.state.View().Targets) == fleetTargets {
			n++
		}
	}
	return n
}

// withFleet runs f with n hosts that have just started.
func withFleet(t *testing.T, n int, settle time.Duration, f func(net *simNet, store *fakeStore, all []*simHost)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.write(1)
		store.config = manyRoutes(1)
		net := &simNet{hosts: map[string]*simHost{}, crossDomainBytes: map[string]int{}}
		all := startSimFleet(t, net, pagedStore{store}, n, settle)
		f(net, store, all)
		for _, h := range all {
			if err := errors.Join(h.follower.Stop(context.Background()), h.members.Stop(context.Background())); err != nil {
				t.Error(err)
			}
		}
	})
}

// At a first start few hosts of each failure domain read the store, and the others get the state
// within the domain.
func TestFirstStartOfAFleetTakesFewCalls(t *testing.T) {
	for _, n := range []int{30, 100, 295} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			withFleet(t, n, time.Second, func(net *simNet, store *fakeStore, all []*simHost) {
				is := is.New(t)
				time.Sleep(5 * time.Second)
				calls, crossedBytes := store.callCount(), net.bytes("follow")
				t.Logf("%d hosts: %d calls to the store, %d KB of updates between failure domains", n, calls, crossedBytes/1000)
				is.Equal(countReady(all), n)
				is.True(calls <= 150)
				is.True(crossedBytes <= 2_000_000)
			})
		})
	}
}

// All hosts lose power and start together while callers wait.
func TestFleetIsBackSoonAfterALossOfAllHosts(t *testing.T) {
	for _, n := range []int{30, 100, 295} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			withFleet(t, n, 0, func(net *simNet, store *fakeStore, all []*simHost) {
				is := is.New(t)
				time.Sleep(300 * time.Millisecond) // 0.3 to 0.6 s after the start of each host
				is.True(countReady(all) >= n*9/10)
				time.Sleep(700 * time.Millisecond)
				calls := store.callCount()
				t.Logf("%d hosts: %d calls to the store", n, calls)
				is.Equal(countReady(all), n)
				is.True(calls <= 400)
			})
		})
	}
}

// In a steady fleet the calls to the store grow with the failure domains, not with the hosts, and a
// new configuration does not cross failure domains.
func TestSteadyFleetSparesStoreAndLinks(t *testing.T) {
	for _, n := range []int{30, 100, 295} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			withFleet(t, n, time.Second, func(net *simNet, store *fakeStore, all []*simHost) {
				is := is.New(t)
				time.Sleep(30 * time.Second)
				calls, crossedBytes := store.callCount(), net.bytes("follow")
				store.set(func() {
					store.revision++
					store.configRevision = store.revision
					store.config = manyRoutes(2)
				})
				time.Sleep(time.Second)
				for _, h := range all {
					table, _ := h.state.Table()
					is.Equal(table.Config.Version, uint64(2))
				}
				time.Sleep(19 * time.Second)
				t.Logf("%d hosts in 20 s: %d calls to the store, %d KB of updates between failure domains", n,
					store.callCount()-calls, (net.bytes("follow")-crossedBytes)/1000)
				is.True(store.callCount()-calls <= 150)
				is.True(net.bytes("follow")-crossedBytes <= 500_000)
			})
		})
	}
}

// When the watching host of a domain dies, every other host still applies a change in time.
func TestDomainWithoutItsWatcherStaysCurrent(t *testing.T) {
	withFleet(t, 100, time.Second, func(net *simNet, store *fakeStore, all []*simHost) {
		is := is.New(t)
		time.Sleep(10 * time.Second)
		watcher := all[0].spread.ownGroup().watchers()[0]
		net.mu.Lock()
		dead := net.hosts[watcher.PeerAddress]
		delete(net.hosts, watcher.PeerAddress)
		net.mu.Unlock()
		_ = dead.follower.Stop(context.Background())
		_ = dead.members.Stop(context.Background())
		store.set(func() {
			store.revision++
			store.configRevision = store.revision
			store.config = manyRoutes(2)
		})
		time.Sleep(all[0].follower.cfg.ApplyWithin.Std())
		for _, h := range all {
			if h == dead {
				continue
			}
			table, _ := h.state.Table()
			is.Equal(table.Config.Version, uint64(2))
		}
	})
}

// During an outage few hosts of each failure domain call the store.
func TestOutageOfTheStoreTakesFewCalls(t *testing.T) {
	withFleet(t, 295, time.Second, func(net *simNet, store *fakeStore, all []*simHost) {
		is := is.New(t)
		time.Sleep(10 * time.Second)
		calls := store.callCount()
		store.set(func() { store.unavailable = true })
		time.Sleep(4500 * time.Millisecond)
		store.set(func() { store.unavailable = false })
		time.Sleep(2 * time.Second)
		t.Logf("%d calls to the store around an outage of 4.5 s", store.callCount()-calls)
		is.True(store.callCount()-calls <= 500)
		for _, h := range all {
			is.True(time.Since(h.state.Freshness()) < h.follower.cfg.staleAfter())
		}
	})
}

// When the watching hosts of a failure domain are cut off from the store, the others of the domain
// get updates from other domains, and a change is in force in time.
func TestDomainWhoseWatchersAreCutOffStaysCurrent(t *testing.T) {
	withFleet(t, 100, time.Second, func(net *simNet, store *fakeStore, all []*simHost) {
		is := is.New(t)
		time.Sleep(10 * time.Second)
		downStore := newFakeStore()
		downStore.unavailable = true
		for _, w := range all[0].spread.ownGroup().watchers() {
			net.host(w.PeerAddress).follower.source = pagedStore{downStore}
		}
		time.Sleep(10 * time.Second)
		calls := store.callCount()
		store.set(func() {
			store.revision++
			store.configRevision = store.revision
			store.config = manyRoutes(2)
		})
		time.Sleep(all[0].follower.cfg.ApplyWithin.Std())
		t.Logf("%d calls in %v", store.callCount()-calls, all[0].follower.cfg.ApplyWithin)
		for _, h := range all {
			table, _ := h.state.Table()
			is.Equal(table.Config.Version, uint64(2))
		}
	})
}
