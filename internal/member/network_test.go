package member

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"rhubarbwood.example/rhubarbwood/internal/await"
	"rhubarbwood.example/rhubarbwood/internal/event"
	"rhubarbwood.example/rhubarbwood/internal/objstore"
	"rhubarbwood.example/rhubarbwood/internal/peer/peerpb"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "30")
	os.Exit(m.Run())
}

const oneWayLatency = time.Millisecond

// network simulates the network between Members of one process, in virtual
// time.
type network struct {
	mu          sync.Mutex
	hosts       map[string]*Members // by peer address
	frozen      map[string]bool     // addresses that neither send nor receive
	partition   map[string]int      // hosts of different partitions do not reach each other; by address
	cutPaths    map[[2]string]bool  // single paths that are cut, both ways
	dropMessage func() bool         // whether to drop the next message

	domains          map[string]string    // failure domain by address, of hosts that are not in defaultDomain
	linkRate         float64              // of each host's link, in bytes a second; 0: unlimited
	linkBusyUntil    map[string]time.Time // end of the last transmission on the link of an address
	crossDomainBytes int                  // bytes sent between failure domains
	sameDomainBytes  int                  // bytes sent within a failure domain
}

const defaultDomain = "salt-lake"

// messageOverheadBytes is the size of a message beside its content: packet
// headers, their acknowledgement and, for one in four, a new connection.
const messageOverheadBytes = 150

// domain returns the failure domain of an address.
func (n *network) domain(address string) string {
	if d, ok := n.domains[address]; ok {
		return d
	}
	return defaultDomain
}

// queueMessage counts a message and returns how long it waits for the sender's
// link and occupies it.
func (n *network) queueMessage(from, to string, m proto.Message) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	size := proto.Size(m) + messageOverheadBytes
	if n.domain(from) != n.domain(to) {
		n.crossDomainBytes += size
	} else {
		n.sameDomainBytes += size
	}
	if n.linkRate <= 0 {
		return 0
	}
	now := time.Now()
	free := now
	if n.linkBusyUntil[from].After(now) {
		free = n.linkBusyUntil[from]
	}
	n.linkBusyUntil[from] = free.Add(time.Duration(float64(size) / n.linkRate * float64(time.Second)))
	return n.linkBusyUntil[from].Sub(now)
}

func newNetwork() *network {
	return &network{
		hosts: map[string]*Members{}, frozen: map[string]bool{}, partition: map[string]int{}, cutPaths: map[[2]string]bool{},
		dropMessage: func() bool { return false }, domains: map[string]string{}, linkBusyUntil: map[string]time.Time{},
	}
}

// simProber is the Prober of the host at from.
type simProber struct {
	net  *network
	from string
}

var errRefused = errors.New("connection refused")

func (p simProber) Probe(ctx context.Context, to string, req *peerpb.ProbeRequest) (*peerpb.ProbeReply, error) {
	if err := p.net.transmit(ctx, p.from, to, req); err != nil {
		return nil, err
	}
	host := p.net.host(to)
	if host == nil {
		return nil, errRefused
	}
	reply, err := host.Probe(ctx, req)
	if err != nil {
		return nil, err
	}
	return reply, p.net.transmit(ctx, to, p.from, reply)
}

// transmit takes the time of one message, or waits until ctx is done if the
// message is lost.
func (n *network) transmit(ctx context.Context, from, to string, m proto.Message) error {
	n.mu.Lock()
	blocked := n.cutPaths[[2]string{from, to}] || n.cutPaths[[2]string{to, from}] || n.frozen[from] || n.frozen[to] || n.partition[from] != n.partition[to] || n.dropMessage()
	n.mu.Unlock()
	if blocked {
		<-ctx.Done()
	} else {
		await.Sleep(ctx, oneWayLatency+n.queueMessage(from, to, m))
	}
	return ctx.Err()
}

func (n *network) host(address string) *Members {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.hosts[address]
}

// withLock runs f, which may change the network's faults.
func (n *network) withLock(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
}

func address(i int) string { return fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250) }
func name(i int) string    { return fmt.Sprintf("host-%02d", i) }

// start starts host i, whose only seed is host 0. The prepare functions run
// before Start.
func (n *network) start(store objstore.Store, i int, prepare ...func(*Members)) *Members {
	cfg := DefaultConfig()
	cfg.Seeds = []string{address(0)}
	self := Host{ID: name(i), FailureDomain: n.domain(address(i)), PeerAddress: address(i), APIAddress: address(i)}
	m := New(cfg, self, store, simProber{n, address(i)}, event.Discard(), nil)
	m.rng = rand.New(rand.NewPCG(1, uint64(i)))
	for _, f := range prepare {
		f(m)
	}
	n.withLock(func() { n.hosts[address(i)] = m })
	_ = m.Start(context.Background()) // always returns nil
	return m
}

// kill ends host i without an announcement to the others.
func (n *network) kill(i int) {
	n.mu.Lock()
	m := n.hosts[address(i)]
	delete(n.hosts, address(i))
	n.mu.Unlock()
	m.cancel()
	m.goroutines.Wait()
}

// stopAll ends every host.
func (n *network) stopAll() {
	for i := range n.hosts {
		m := n.hosts[i]
		m.cancel()
		m.goroutines.Wait()
	}
}

// downStore is a platform that is unavailable.
type downStore struct{ objstore.Store }

var errOutage = &objstore.Unavailable{Cause: errors.New("outage")}

func (downStore) List(context.Context, ...string) (objstore.Listing, error) {
	return objstore.Listing{}, errOutage
}
func (downStore) Get(context.Context, string, string) (objstore.Object, error) {
	return objstore.Object{}, errOutage
}
