package gatewayhost

import (
	"context"
	"math"
	"net"
	"reflect"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"rhubarbwood.example/rhubarbwood/internal/await"
	"rhubarbwood.example/rhubarbwood/internal/clock"
	"rhubarbwood.example/rhubarbwood/internal/delivery"
	"rhubarbwood.example/rhubarbwood/internal/discovery"
	"rhubarbwood.example/rhubarbwood/internal/event"
	"rhubarbwood.example/rhubarbwood/internal/gateway"
	"rhubarbwood.example/rhubarbwood/internal/gatherrpc"
	"rhubarbwood.example/rhubarbwood/internal/kernel"
	"rhubarbwood.example/rhubarbwood/internal/listen"
	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/netdial"
	"rhubarbwood.example/rhubarbwood/internal/objstore"
	"rhubarbwood.example/rhubarbwood/internal/peer"
	"rhubarbwood.example/rhubarbwood/internal/quarantine"
	"rhubarbwood.example/rhubarbwood/internal/warmup"
)

// Names of the modules.
const (
	modPlatform  = "platform"  // client of the platform's object API
	modStore     = "store"     // the product's objects on it
	modPeerPool  = "peer_pool" // connections to other hosts
	modPeers     = "peers"     // listener for other hosts
	modMembers   = "members"
	modSpread    = "spread"    // exchange of beliefs with other hosts
	modDelivery  = "delivery"  // records of what callers got
	modCompactor = "compactor" // sums them up
	modRequests  = "requests"  // what is held against requests
	modState     = "state"     // what the host believes
	modFollower  = "follower"  // keeps it up to date from the store
	modGateway   = "gateway"   // forwards requests
	modWarmup    = "warmup"    // writes permits of cold targets
	modCallers   = "callers"   // callers' listener
	modReadiness = "readiness" // balancer's listener
	modMetrics   = "metrics"   // listener for counters
)

// Host is one process of the system.
type Host struct {
	settings Settings
	platform Platform
	system   System
	log      *event.Log
	life     *kernel.Lifecycle
	kernel   *kernel.Kernel
	metrics  *prometheus.Registry // of the product
	runtime  *prometheus.Registry // of the process and Go's runtime
	on       listeners
	callers  *callers
	members  *member.Members
	requests *quarantine.Table
	gateway  *gateway.Gateway

	peerMetrics *peer.Metrics
}

// System is how a host listens, opens connections and tells time.
type System struct {
	Listen listen.Func
	// Dial opens connections to targets and other hosts; nil: over TCP, each part with its
	// own timeout.
	Dial netdial.Func
	// Clock tells the ages of what the host believes; nil: the steady clock.
	Clock *clock.Clock
}

// New returns a host with every module built and every address taken, but
// nothing started. An address in use is an error here.
func New(s Settings, p Platform, log *event.Log) (*Host, error) {
	return NewOn(OwnSystem(), s, p, log)
}

// OwnSystem is the machine that the process runs on.
func OwnSystem() System { return System{Listen: net.Listen, Clock: clock.New()} }

// NewOn is New with another network or clock than the machine's.
func NewOn(system System, s Settings, p Platform, log *event.Log) (*Host, error) {
	on, err := listenOn(system, s.Addresses)
	if err != nil {
		return nil, err
	}
	h := &Host{settings: s, platform: p, system: system, log: log, life: kernel.NewLifecycle(), metrics: prometheus.NewRegistry(), runtime: prometheus.NewRegistry(), on: on}
	h.runtime.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	h.peerMetrics = peer.NewMetrics(h.metrics)
	h.kernel = kernel.New(h.life, s.Stop.Grace.Std(), log)
	h.register()
	if err := h.kernel.Build(); err != nil {
		h.on.close()
		return nil, Error.Wrap(err)
	}
	return h, nil
}

func (h *Host) register() {
	k := h.kernel
	k.Register(modPlatform, h.newPlatform)
	k.Register(modStore, h.newStore, modPlatform)
	k.Register(modPeerPool, h.newPeerPool)
	k.Register(modPeers, h.newPeers)
	k.Register(modMembers, h.newMembers, modStore, modPeerPool, modPeers)
	k.Register(modRequests, h.newRequests, modStore)
	k.Register(modState, h.newState, modRequests)
	k.Register(modSpread, h.newSpread, modState, modMembers, modPeerPool, modPeers)
	k.Register(modDelivery, h.newDelivery, modStore, modMembers)
	k.Register(modCompactor, h.newCompactor, modStore, modMembers, modState)
	k.Register(modGateway, h.newGateway, modState, modRequests, modMembers, modDelivery, modPeerPool, modPeers)
	k.Register(modWarmup, h.newWarmup, modStore, modState, modSpread, modGateway)
	k.Register(modFollower, h.newFollower, modPlatform, modState, modRequests, modSpread, modGateway)
	k.Register(modMetrics, h.newMetrics)
	k.Register(modCallers, h.newCallers, modState, modGateway, modFollower)
	k.Register(modReadiness, h.newReadiness, modGateway, modCallers)
}

// stateModule lets other modules find the state.
type stateModule struct{ *discovery.State }

// Start does nothing.
func (stateModule) Start(context.Context) error { return nil }

// Stop does nothing.
func (stateModule) Stop(context.Context) error { return nil }

func (h *Host) newState(f kernel.Finder) (kernel.Module, error) {
	requests, err := kernel.Find[requestsModule](f, modRequests)
	if err != nil {
		return nil, err
	}
	s := discovery.NewState()
	s.GoBy(h.system.Clock)
	s.ShareRequests(requests.table)
	return stateModule{s}, nil
}

// requestsModule keeps what is held against requests in the store, and lets other modules find
// it.
type requestsModule struct {
	*quarantine.Keeper
	table *quarantine.Table
}

func (h *Host) newRequests(f kernel.Finder) (kernel.Module, error) {
	store, err := kernel.Find[objstore.Store](f, modStore)
	if err != nil {
		return nil, err
	}
	h.requests = quarantine.NewTable(h.settings.Quarantine, h.log)
	h.requests.GoBy(h.system.Clock)
	return requestsModule{quarantine.NewKeeper(h.requests, store, h.log), h.requests}, nil
}

// platformModule is the governed object API as a module.
type platformModule struct{ *objstore.Governed }

// Start does nothing: a host starts while the platform is down, too.
func (platformModule) Start(context.Context) error { return nil }

// Stop closes the idle connections.
func (m platformModule) Stop(context.Context) error {
	m.Close()
	return nil
}

func (h *Host) newPlatform(kernel.Finder) (kernel.Module, error) {
	cfg := h.settings.Platform
	records := objstore.Govern(cfg, h.platform.Records(cfg), h.log, h.metrics)
	records.GoBy(h.system.Clock)
	return platformModule{records}, nil
}

func (h *Host) newStore(f kernel.Finder) (kernel.Module, error) {
	records, err := kernel.Find[objstore.Records](f, modPlatform)
	if err != nil {
		return nil, err
	}
	return objstore.New(records), nil
}

func (h *Host) newPeerPool(kernel.Finder) (kernel.Module, error) {
	opts := []peer.Option{peer.WithMetrics(h.peerMetrics)}
	if h.system.Dial != nil {
		opts = append(opts, peer.WithDial(h.system.Dial))
	}
	return peer.NewPool(opts...), nil
}

func (h *Host) newPeers(kernel.Finder) (kernel.Module, error) {
	s := peer.NewServer(h.settings.Addresses.Peers, peer.WithMetrics(h.peerMetrics))
	s.On(h.on.peers)
	return s, nil
}

func (h *Host) newMembers(f kernel.Finder) (kernel.Module, error) {
	l := kernel.Lookup{Finder: f}
	store := kernel.FindIn[objstore.Store](&l, modStore)
	pool := kernel.FindIn[peer.Dialer](&l, modPeerPool)
	server := kernel.FindIn[*peer.Server](&l, modPeers)
	if l.Err != nil {
		return nil, l.Err
	}
	self := member.Host{
		ID: h.settings.ID, FailureDomain: h.settings.FailureDomain,
		Peer: h.Addresses().Peers, API: h.Addresses().Callers,
		LinkMbps: uint32(math.Round(h.settings.LinkMbps)),
	}
	h.members = member.New(h.settings.Member, self, store, member.DRPC{Dialer: pool}, h.log, h.metrics)
	return h.members, h.members.Register(server)
}

// spreadModule lets other modules find the exchange of beliefs.
type spreadModule struct{ *discovery.Spread }

// Start does nothing: the peer listener serves.
func (spreadModule) Start(context.Context) error { return nil }

// Stop does nothing.
func (spreadModule) Stop(context.Context) error { return nil }

func (h *Host) newSpread(f kernel.Finder) (kernel.Module, error) {
	l := kernel.Lookup{Finder: f}
	state := kernel.FindIn[stateModule](&l, modState)
	members := kernel.FindIn[member.View](&l, modMembers)
	pool := kernel.FindIn[peer.Dialer](&l, modPeerPool)
	server := kernel.FindIn[*peer.Server](&l, modPeers)
	if l.Err != nil {
		return nil, l.Err
	}
	s := discovery.NewSpread(h.settings.Discovery, members, pool, state.State)
	s.AskFirst(h.settings.Member.Seeds)
	return spreadModule{s}, s.Register(server)
}

func (h *Host) newFollower(f kernel.Finder) (kernel.Module, error) {
	l := kernel.Lookup{Finder: f}
	state := kernel.FindIn[stateModule](&l, modState)
	records := kernel.FindIn[objstore.Records](&l, modPlatform)
	spread := kernel.FindIn[spreadModule](&l, modSpread)
	requests := kernel.FindIn[requestsModule](&l, modRequests)
	if l.Err != nil {
		return nil, l.Err
	}
	follower := discovery.NewFollower(h.settings.Discovery, h.platform.Source(records), spread, state.State, h.log, h.metrics)
	follower.ReadRequests(requests)
	return follower, nil
}

func (h *Host) newDelivery(f kernel.Finder) (kernel.Module, error) {
	l := kernel.Lookup{Finder: f}
	store := kernel.FindIn[objstore.Store](&l, modStore)
	members := kernel.FindIn[member.View](&l, modMembers)
	if l.Err != nil {
		return nil, l.Err
	}
	return delivery.New(h.settings.Delivery, store, members, h.log, h.metrics), nil
}

func (h *Host) newCompactor(f kernel.Finder) (kernel.Module, error) {
	l := kernel.Lookup{Finder: f}
	store := kernel.FindIn[objstore.Store](&l, modStore)
	members := kernel.FindIn[member.View](&l, modMembers)
	state := kernel.FindIn[stateModule](&l, modState)
	if l.Err != nil {
		return nil, l.Err
	}
	objectives := func() []delivery.Objective {
		table, _ := state.Table()
		if table == nil {
			return nil
		}
		return delivery.RouteObjectives(table.Config.Routes)
	}
	return delivery.NewCompactor(h.settings.Delivery, store, members, objectives, h.log, h.metrics), nil
}

func (h *Host) newGateway(f kernel.Finder) (kernel.Module, error) {
	l := kernel.Lookup{Finder: f}
	state := kernel.FindIn[stateModule](&l, modState)
	members := kernel.FindIn[member.View](&l, modMembers)
	requests := kernel.FindIn[requestsModule](&l, modRequests)
	recorder := kernel.FindIn[delivery.Recorder](&l, modDelivery)
	pool := kernel.FindIn[peer.Dialer](&l, modPeerPool)
	server := kernel.FindIn[*peer.Server](&l, modPeers)
	if l.Err != nil {
		return nil, l.Err
	}
	s := h.settings
	h.gateway = gateway.New(s.Gateway, members.Self(), members.Count, state.State, requests.table, h.platform.Messages, recorder, h.life, h.log, h.metrics)
	if h.system.Dial != nil {
		h.gateway.DialWith(h.system.Dial)
	}
	h.gateway.HelpWith(gatherrpc.NewClient(pool, h.system.Clock), members.Hosts)
	return h.gateway, gatherrpc.NewServer(h.gateway, h.system.Clock).Register(server)
}

func (h *Host) newWarmup(f kernel.Finder) (kernel.Module, error) {
	l := kernel.Lookup{Finder: f}
	store := kernel.FindIn[objstore.Store](&l, modStore)
	state := kernel.FindIn[stateModule](&l, modState)
	spread := kernel.FindIn[spreadModule](&l, modSpread)
	g := kernel.FindIn[*gateway.Gateway](&l, modGateway)
	if l.Err != nil {
		return nil, l.Err
	}
	return warmup.NewKeeper(g, spread, store, state.State, h.log), nil
}

func (h *Host) newCallers(f kernel.Finder) (kernel.Module, error) {
	l := kernel.Lookup{Finder: f}
	g := kernel.FindIn[*gateway.Gateway](&l, modGateway)
	state := kernel.FindIn[stateModule](&l, modState)
	if l.Err != nil {
		return nil, l.Err
	}
	h.callers = newCallers(h.on.callers, state.Limits, g, h.log)
	return h.callers, nil
}

func (h *Host) newReadiness(f kernel.Finder) (kernel.Module, error) {
	g, err := kernel.Find[*gateway.Gateway](f, modGateway)
	if err != nil {
		return nil, err
	}
	return newReadiness(h.on.readiness, h.platform.Messages.ReadyPath(), g, h.log), nil
}

func (h *Host) newMetrics(kernel.Finder) (kernel.Module, error) {
	return newMetrics(h.on.metrics, h.metrics, h.runtime, h.log), nil
}

// Start starts every module. If one fails, none is left running.
func (h *Host) Start(ctx context.Context) error {
	if err := h.kernel.Start(ctx); err != nil {
		h.on.close()
		return Error.Wrap(err)
	}
	a := h.Addresses()
	h.log.Event(evStarted).Str("failure_domain", h.settings.FailureDomain).Str("callers", a.Callers).
		Str("readiness", a.Readiness).Strs("platform", h.settings.Platform.Addresses).Msg("")
	return nil
}

// Addresses returns where the host listens, with the ports that were taken.
func (h *Host) Addresses() Addresses {
	return Addresses{
		Callers: h.on.callers.Addr().String(), Readiness: h.on.readiness.Addr().String(),
		Metrics: h.on.metrics.Addr().String(), Peers: h.on.peers.Addr().String(),
	}
}

// Ready returns why the host should get no callers, or nil.
func (h *Host) Ready() error { return h.gateway.Ready() }

// WaitReady waits until the host can serve, or returns why it can't when ctx is
// done.
func (h *Host) WaitReady(ctx context.Context) error { return await.Ready(ctx, h.Ready) }

// dropsEvery is the time between two looks at dropped log lines.
const dropsEvery = time.Second

// WatchDrops logs how many log lines were dropped, while the host runs.
func (h *Host) WatchDrops(dropped func() uint64) {
	go func() {
		told := uint64(0)
		tick := time.NewTicker(dropsEvery)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
			case <-h.life.Leaving():
				return
			}
			if now := dropped(); now > told {
				h.log.Event(evDropped).Uint64("lines", now-told).Uint64("total", now).Msg("")
				told = now
			}
		}
	}()
}

// Reload notes that the settings may have changed. Everything in them needs a
// restart, but for the log level.
func (h *Host) Reload(s Settings, err error) {
	if err != nil {
		h.log.Event(evReloadRefused).Err(err).Msg("")
		return
	}
	h.log.SetLevel(s.Log.Plog())
	h.log.Event(evReloaded).Str("level", s.Log.Level).Bool("restart_needed", h.restartNeeded(s)).Msg("")
}

// restartNeeded reports whether settings differ in more than the log level.
func (h *Host) restartNeeded(s Settings) bool {
	s.Log = h.settings.Log
	return !reflect.DeepEqual(s, h.settings)
}

// Stop leaves gracefully: readiness fails at once, callers are served until
// the balancer has noticed, and what is in flight then ends by its own time,
// as far as the grace lets it.
func (h *Host) Stop(ctx context.Context) error {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, h.settings.Stop.Grace.Std()-exitMargin)
	defer cancel()
	h.kernel.Advance(kernel.Leaving)
	h.log.Event(evLeaving).Stringer("balancer_lag", h.settings.Stop.BalancerLag).Stringer("grace", h.settings.Stop.Grace).Msg("")
	h.callers.closeIdle()
	h.members.Leave(ctx)
	await.Sleep(ctx, h.settings.Stop.BalancerLag.Std())
	err := h.kernel.Stop(ctx)
	if err != nil {
		h.log.Event(evCut).Err(err).Dur("took", time.Since(began)).Msg("")
		return Error.Wrap(err)
	}
	h.log.Event(evStopped).Dur("took", time.Since(began)).Msg("")
	return nil
}
