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
	"rhubarbwood.example/rhubarbwood/internal/membudget"
	"rhubarbwood.example/rhubarbwood/internal/netdial"
	"rhubarbwood.example/rhubarbwood/internal/objstore"
	"rhubarbwood.example/rhubarbwood/internal/peer"
	"rhubarbwood.example/rhubarbwood/internal/quarantine"
	"rhubarbwood.example/rhubarbwood/internal/warmup"
)

// Names of the modules.
const (
	modPlatform      = "platform"  // client of the platform's object API
	modStore         = "store"     // the hosts' own objects in the platform's store
	modPeerPool      = "peer_pool" // connections to other hosts
	modPeers         = "peers"     // listener for other hosts
	modMembers       = "members"   // membership of the hosts
	modStateExchange = "spread"    // exchange of discovery state with other hosts
	modDelivery      = "delivery"  // delivery records of responses to callers
	modCompactor     = "compactor" // compaction of the delivery records
	modQuarantine    = "requests"  // requests that crashed targets
	modState         = "state"     // configuration, targets and evacuations as the host has them
	modFollower      = "follower"  // updates the state from the store
	modGateway       = "gateway"   // forwards requests
	modWarmup        = "warmup"    // writes permits of cold targets
	modRollouts      = "rollouts"  // carries out rollout orders; only if the settings hold their bounds
	modCallers       = "callers"   // listener for callers
	modReadiness     = "readiness" // listener for the load balancer's readiness checks
	modMetrics       = "metrics"   // listener for metrics
)

// Host is a gateway host: one process with its modules and listeners.
type Host struct {
	settings       Settings
	platform       Platform
	system         System
	log            *event.Log
	lifecycle      *kernel.Lifecycle
	kernel         *kernel.Kernel
	metrics        *prometheus.Registry // of the host's modules
	runtimeMetrics *prometheus.Registry // of the process and the Go runtime
	listeners      listeners
	callers        *callerListener
	members        *member.Members
	quarantine     *quarantine.Table
	gateway        *gateway.Gateway
	memory         *membudget.Budgets // of the messages of other processes

	peerMetrics *peer.Metrics
}

// System is the network and the clock that a host uses.
type System struct {
	Listen listen.Func
	// Dial opens connections to targets and other hosts; nil: over TCP, with the dial
	// timeout of each module.
	Dial netdial.Func
	// Clock measures the ages of cached state; nil: Go's monotonic clock.
	Clock *clock.Clock
}

// New returns a host with every module built and every listener open, but
// no module started. It fails if an address is in use.
func New(s Settings, p Platform, log *event.Log) (*Host, error) {
	return NewWithSystem(LocalSystem(), s, p, log)
}

// LocalSystem returns the network and the clock of the operating system.
func LocalSystem() System {
	listener := net.ListenConfig{Control: netdial.LimitUnread}
	listenLimited := func(network, address string) (net.Listener, error) {
		return listener.Listen(context.Background(), network, address)
	}
	return System{Listen: listenLimited, Clock: clock.New()}
}

// NewWithSystem is New with the given network and clock instead of those of the operating system.
func NewWithSystem(system System, s Settings, p Platform, log *event.Log) (*Host, error) {
	opened, err := listenAll(system, s.Addresses)
	if err != nil {
		return nil, err
	}
	h := &Host{settings: s, platform: p, system: system, log: log, lifecycle: kernel.NewLifecycle(), metrics: prometheus.NewRegistry(), runtimeMetrics: prometheus.NewRegistry(), listeners: opened}
	h.runtimeMetrics.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	h.peerMetrics = peer.NewMetrics(h.metrics)
	h.memory = membudget.New(s.Memory, h.metrics)
	h.kernel = kernel.New(h.lifecycle, s.Stop.Grace.Std(), log)
	h.register()
	if err := h.kernel.Build(); err != nil {
		h.listeners.close()
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
	k.Register(modQuarantine, h.newQuarantine, modStore)
	k.Register(modState, h.newState, modQuarantine)
	k.Register(modStateExchange, h.newStateExchange, modState, modMembers, modPeerPool, modPeers)
	k.Register(modDelivery, h.newDelivery, modStore, modMembers)
	k.Register(modCompactor, h.newCompactor, modStore, modMembers, modState)
	k.Register(modGateway, h.newGateway, modState, modQuarantine, modMembers, modDelivery, modPeerPool, modPeers)
	k.Register(modWarmup, h.newWarmup, modStore, modState, modStateExchange, modGateway)
	if h.settings.Rollout.Enabled() {
		k.Register(modRollouts, h.newRollouts, modPlatform, modStore, modMembers, modState, modStateExchange, modGateway, modPeerPool, modPeers)
	}
	k.Register(modFollower, h.newFollower, modPlatform, modState, modQuarantine, modStateExchange, modGateway)
	k.Register(modMetrics, h.newMetrics)
	k.Register(modCallers, h.newCallers, modState, modGateway, modFollower)
	k.Register(modReadiness, h.newReadiness, modGateway, modCallers)
}

// stateModule is the discovery state as a module.
type stateModule struct{ *discovery.State }

// Start does nothing.
func (stateModule) Start(context.Context) error { return nil }

// Stop does nothing.
func (stateModule) Stop(context.Context) error { return nil }

func (h *Host) newState(f kernel.Finder) (kernel.Module, error) {
	quarantined, err := kernel.Find[quarantineModule](f, modQuarantine)
	if err != nil {
		return nil, err
	}
	s := discovery.NewState()
	s.SetClock(h.system.Clock)
	s.ShareQuarantine(quarantined.table)
	return stateModule{s}, nil
}

// quarantineModule is the quarantine table as a module, with the keeper that persists it in the store.
type quarantineModule struct {
	*quarantine.Keeper
	table *quarantine.Table
}

func (h *Host) newQuarantine(f kernel.Finder) (kernel.Module, error) {
	store, err := kernel.Find[objstore.Store](f, modStore)
	if err != nil {
		return nil, err
	}
	h.quarantine = quarantine.NewTable(h.settings.Quarantine, h.log)
	h.quarantine.SetClock(h.system.Clock)
	return quarantineModule{quarantine.NewKeeper(h.quarantine, store, h.log), h.quarantine}, nil
}

// platformModule is the rate-limited client of the platform's object API as a module.
type platformModule struct{ *objstore.LimitedRecords }

// Start does nothing, so that a host can start while the platform is down.
func (platformModule) Start(context.Context) error { return nil }

// Stop closes the idle connections.
func (m platformModule) Stop(context.Context) error {
	m.Close()
	return nil
}

func (h *Host) newPlatform(kernel.Finder) (kernel.Module, error) {
	cfg := h.settings.Platform
	records := objstore.NewLimitedRecords(cfg, h.platform.Records(cfg, h.memory.Store), h.log, h.metrics)
	records.SetClock(h.system.Clock)
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
	opts := []peer.Option{peer.WithMetrics(h.peerMetrics), peer.WithMemory(h.memory.Peers)}
	if h.system.Dial != nil {
		opts = append(opts, peer.WithDial(h.system.Dial))
	}
	return peer.NewPool(opts...), nil
}

func (h *Host) newPeers(kernel.Finder) (kernel.Module, error) {
	s := peer.NewServer(h.settings.Addresses.Peers, peer.WithMetrics(h.peerMetrics), peer.WithMemory(h.memory.Peers))
	s.UseListener(h.listeners.peers)
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
		PeerAddress: h.Addresses().Peers, APIAddress: h.Addresses().Callers,
		LinkMbps: uint32(math.Round(h.settings.LinkMbps)),
	}
	h.members = member.New(h.settings.Member, self, store, member.DRPCProber{Dialer: pool}, h.log, h.metrics)
	return h.members, h.members.Register(server)
}

// stateExchangeModule is the exchange of discovery state with other hosts as a module.
type stateExchangeModule struct{ *discovery.Exchange }

// Start does nothing: the peer listener serves the calls.
func (stateExchangeModule) Start(context.Context) error { return nil }

// Stop does nothing.
func (stateExchangeModule) Stop(context.Context) error { return nil }

func (h *Host) newStateExchange(f kernel.Finder) (kernel.Module, error) {
	l := kernel.Lookup{Finder: f}
	state := kernel.FindIn[stateModule](&l, modState)
	members := kernel.FindIn[member.View](&l, modMembers)
	pool := kernel.FindIn[peer.Dialer](&l, modPeerPool)
	server := kernel.FindIn[*peer.Server](&l, modPeers)
	if l.Err != nil {
		return nil, l.Err
	}
	s := discovery.NewExchange(h.settings.discoveryConfig(), members, pool, state.State)
	s.SetSeeds(h.settings.Member.Seeds)
	return stateExchangeModule{s}, s.Register(server)
}

func (h *Host) newFollower(f kernel.Finder) (kernel.Module, error) {
	l := kernel.Lookup{Finder: f}
	state := kernel.FindIn[stateModule](&l, modState)
	records := kernel.FindIn[objstore.Records](&l, modPlatform)
	exchange := kernel.FindIn[stateExchangeModule](&l, modStateExchange)
	quarantined := kernel.FindIn[quarantineModule](&l, modQuarantine)
	if l.Err != nil {
		return nil, l.Err
	}
	follower := discovery.NewFollower(h.settings.discoveryConfig(), h.platform.Source(records), exchange, state.State, h.log, h.metrics)
	follower.SetQuarantineStore(quarantined)
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
	quarantined := kernel.FindIn[quarantineModule](&l, modQuarantine)
	recorder := kernel.FindIn[delivery.Recorder](&l, modDelivery)
	pool := kernel.FindIn[peer.Dialer](&l, modPeerPool)
	server := kernel.FindIn[*peer.Server](&l, modPeers)
	if l.Err != nil {
		return nil, l.Err
	}
	s := h.settings
	h.gateway = gateway.New(s.Gateway, members.Self(), members.Count, state.State, quarantined.table, h.platform.Messages, recorder, h.lifecycle, h.log, h.metrics)
	if h.system.Dial != nil {
		h.gateway.DialWith(h.system.Dial)
	}
	h.gateway.UseMemory(h.memory)
	if s.Rollout.Enabled() {
		h.gateway.EnableRollouts()
	}
	h.gateway.EnableHelpers(gatherrpc.NewClient(pool, h.system.Clock), members.Hosts)
	return h.gateway, gatherrpc.NewServer(h.gateway, h.system.Clock).Register(server)
}

func (h *Host) newWarmup(f kernel.Finder) (kernel.Module, error) {
	l := kernel.Lookup{Finder: f}
	store := kernel.FindIn[objstore.Store](&l, modStore)
	state := kernel.FindIn[stateModule](&l, modState)
	exchange := kernel.FindIn[stateExchangeModule](&l, modStateExchange)
	g := kernel.FindIn[*gateway.Gateway](&l, modGateway)
	if l.Err != nil {
		return nil, l.Err
	}
	return warmup.NewKeeper(g, exchange, store, state.State, h.log), nil
}

func (h *Host) newCallers(f kernel.Finder) (kernel.Module, error) {
	l := kernel.Lookup{Finder: f}
	g := kernel.FindIn[*gateway.Gateway](&l, modGateway)
	state := kernel.FindIn[stateModule](&l, modState)
	if l.Err != nil {
		return nil, l.Err
	}
	h.callers = newCallerListener(h.listeners.callers, state.Limits, h.memory.Callers, g, h.log)
	h.callers.beforeCut = g.ConnectionsClosed
	return h.callers, nil
}

func (h *Host) newReadiness(f kernel.Finder) (kernel.Module, error) {
	g, err := kernel.Find[*gateway.Gateway](f, modGateway)
	if err != nil {
		return nil, err
	}
	return newReadinessListener(h.listeners.readiness, h.platform.Messages.ReadyPath(), g, h.log), nil
}

func (h *Host) newMetrics(kernel.Finder) (kernel.Module, error) {
	return newMetricsListener(h.listeners.metrics, h.metrics, h.runtimeMetrics, h.log), nil
}

// Start starts every module. If one fails, it stops those that were started.
func (h *Host) Start(ctx context.Context) error {
	if err := h.kernel.Start(ctx); err != nil {
		h.listeners.close()
		return Error.Wrap(err)
	}
	a := h.Addresses()
	h.log.Event(evStarted).Str("failure_domain", h.settings.FailureDomain).Str("callers", a.Callers).
		Str("readiness", a.Readiness).Strs("platform", h.settings.Platform.Addresses).Msg("")
	return nil
}

// Addresses returns the addresses on which the host listens, with the actual ports.
func (h *Host) Addresses() Addresses {
	return Addresses{
		Callers: h.listeners.callers.Addr().String(), Readiness: h.listeners.readiness.Addr().String(),
		Metrics: h.listeners.metrics.Addr().String(), Peers: h.listeners.peers.Addr().String(),
	}
}

// Ready returns nil if the host can serve callers, and otherwise the reason.
func (h *Host) Ready() error { return h.gateway.Ready() }

// WaitReady waits until the host is ready. If ctx is done before, it returns why the
// host is not.
func (h *Host) WaitReady(ctx context.Context) error { return await.Ready(ctx, h.Ready) }

// dropCheckInterval is the interval at which the number of dropped log lines is checked.
const dropCheckInterval = time.Second

// LogDroppedLines logs the number of dropped log lines whenever it has grown, until the host begins to stop.
func (h *Host) LogDroppedLines(dropped func() uint64) {
	go func() {
		reported := uint64(0)
		tick := time.NewTicker(dropCheckInterval)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
			case <-h.lifecycle.Leaving():
				return
			}
			if now := dropped(); now > reported {
				h.log.Event(evLogDropped).Uint64("lines", now-reported).Uint64("total", now).Msg("")
				reported = now
			}
		}
	}()
}

// Reload applies the log level of reloaded settings, and logs whether other settings
// have changed, which need a restart. err is the error of loading them.
func (h *Host) Reload(s Settings, err error) {
	if err != nil {
		h.log.Event(evReloadRefused).Err(err).Msg("")
		return
	}
	h.log.SetLevel(s.Log.ParsedLevel())
	h.log.Event(evReloaded).Str("level", s.Log.Level).Bool("restart_needed", h.needsRestart(s)).Msg("")
}

// needsRestart reports whether settings differ in more than the log level.
func (h *Host) needsRestart(s Settings) bool {
	s.Log = h.settings.Log
	return !reflect.DeepEqual(s, h.settings)
}

// Stop stops the host gracefully: readiness fails immediately, new connections are accepted
// until the balancer lag is over, and requests in flight may complete until shortly before the
// grace ends; then they are answered without a result. New requests that may take longer are
// refused as not run, so that their callers can go to another host.
func (h *Host) Stop(ctx context.Context) error {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, h.settings.Stop.Grace.Std()-exitMargin)
	defer cancel()
	h.kernel.Advance(kernel.Leaving)
	h.log.Event(evLeaving).Stringer("balancer_lag", h.settings.Stop.BalancerLag).Stringer("grace", h.settings.Stop.Grace).Msg("")
	h.gateway.BeginStop(start.Add(h.settings.Stop.requestTime()))
	h.callers.closeIdle()
	h.members.Leave(ctx)
	await.Sleep(ctx, h.settings.Stop.BalancerLag.Std())
	err := h.kernel.Stop(ctx)
	if err != nil {
		h.log.Event(evStopCutOff).Err(err).Dur("took", time.Since(start)).Msg("")
		return Error.Wrap(err)
	}
	h.log.Event(evStopped).Dur("took", time.Since(start)).Msg("")
	return nil
}
