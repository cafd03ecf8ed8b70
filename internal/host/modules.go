package host

import (
	"context"

	"rhubarbwood.example/rhubarbwood/internal/api"
	"rhubarbwood.example/rhubarbwood/internal/catalog"
	"rhubarbwood.example/rhubarbwood/internal/claim"
	"rhubarbwood.example/rhubarbwood/internal/delivery"
	"rhubarbwood.example/rhubarbwood/internal/entry"
	"rhubarbwood.example/rhubarbwood/internal/kernel"
	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/objstore"
	"rhubarbwood.example/rhubarbwood/internal/peer"
	"rhubarbwood.example/rhubarbwood/internal/peer/peerpb"
	"rhubarbwood.example/rhubarbwood/internal/relay"
	"rhubarbwood.example/rhubarbwood/internal/relayrpc"
	"rhubarbwood.example/rhubarbwood/platform"
)

// Module names, as registered with the kernel.
const (
	modPlatform   = "platform"    // client of the platform's object store
	modPeerPool   = "peer_pool"   // connections to other hosts
	modPeerServer = "peer_server" // listener for other hosts
	modMembers    = "members"
	modCatalog    = "catalog"
	modRelay      = "relay"
	modClaims     = "claims"
	modRelayRPC   = "relay_rpc" // serves this host's relay to other hosts
	modDelivery   = "delivery"
	modCompactor  = "compactor" // compacts delivery windows
	modEntry      = "entry"
	modOperators  = "operators" // operators' listener
	modCallers    = "callers"   // callers' listener
)

// register registers every module with its dependencies. Modules stop in the
// reverse order of their start: the callers' listener first, while everything
// that its requests use still runs, and the platform client and the connections
// to peers last.
func (h *Host) register() {
	k := h.kernel
	k.Register(modPlatform, h.newPlatform)
	k.Register(modPeerPool, h.newPeerPool)
	k.Register(modPeerServer, h.newPeerServer)
	k.Register(modMembers, h.newMembers, modPlatform, modPeerPool, modPeerServer)
	k.Register(modCatalog, h.newCatalog, modPlatform, modPeerPool, modPeerServer, modMembers)
	k.Register(modRelay, h.newRelay, modPlatform, modPeerPool, modPeerServer, modMembers, modCatalog)
	k.Register(modClaims, h.newClaims, modPlatform, modPeerPool, modPeerServer, modMembers, modCatalog, modRelay)
	k.Register(modRelayRPC, h.newRelayRPC, modPeerServer, modRelay, modClaims)
	k.Register(modDelivery, h.newDelivery, modPlatform, modMembers)
	k.Register(modCompactor, h.newCompactor, modPlatform, modMembers, modCatalog)
	k.Register(modEntry, h.newEntry, modPeerPool, modMembers, modCatalog, modRelay, modClaims, modRelayRPC, modDelivery)
	k.Register(modOperators, h.newOperators, modPlatform, modMembers, modCatalog, modRelay, modClaims)
	k.Register(modCallers, h.newCallers, modEntry, modOperators)
}

func (h *Host) newPlatform(kernel.Finder) (kernel.Module, error) {
	cfg := h.settings.Platform
	records := platform.NewObjects(cfg.Timeout.Std(), cfg.Addresses...)
	records.LimitMemory(h.memory.Store)
	limited := objstore.NewLimitedRecords(cfg, records, h.log, h.metrics)
	limited.SetClock(h.clock)
	return objstore.New(limited), nil
}

func (h *Host) newPeerPool(kernel.Finder) (kernel.Module, error) {
	return peer.NewPool(peer.WithMetrics(h.peerMetrics), peer.WithMemory(h.memory.Peers)), nil
}

func (h *Host) newPeerServer(kernel.Finder) (kernel.Module, error) {
	s := peer.NewServer(h.settings.Addresses.Peers, peer.WithMetrics(h.peerMetrics), peer.WithMemory(h.memory.Peers))
	s.UseListener(h.listeners.peers)
	return s, nil
}

func (h *Host) newMembers(f kernel.Finder) (kernel.Module, error) {
	l := kernel.Lookup{Finder: f}
	store := kernel.FindIn[objstore.Store](&l, modPlatform)
	pool := kernel.FindIn[peer.Dialer](&l, modPeerPool)
	server := kernel.FindIn[*peer.Server](&l, modPeerServer)
	if l.Err != nil {
		return nil, l.Err
	}
	self := member.Host{
		ID:            h.settings.ID,
		FailureDomain: h.settings.FailureDomain,
		PeerAddress:   h.Addresses().Peers,
		APIAddress:    h.Addresses().Callers,
	}
	m := member.New(h.settings.Member, self, store, member.DRPCProber{Dialer: pool}, h.log, h.metrics)
	h.modules.members = m
	return m, m.Register(server)
}

func (h *Host) newCatalog(f kernel.Finder) (kernel.Module, error) {
	l := kernel.Lookup{Finder: f}
	store := kernel.FindIn[objstore.Store](&l, modPlatform)
	pool := kernel.FindIn[peer.Dialer](&l, modPeerPool)
	server := kernel.FindIn[*peer.Server](&l, modPeerServer)
	members := kernel.FindIn[*member.Members](&l, modMembers)
	if l.Err != nil {
		return nil, l.Err
	}
	c := catalog.New(h.settings.Catalog, store, members, catalog.NewPeerPuller(pool), members, h.log, h.metrics)
	members.SetRevisionSource(c)
	c.SetClock(h.clock)
	h.modules.catalog = c
	return c, peerpb.DRPCRegisterConfiguration(server, c)
}

func (h *Host) newRelay(f kernel.Finder) (kernel.Module, error) {
	l := kernel.Lookup{Finder: f}
	store := kernel.FindIn[objstore.Store](&l, modPlatform)
	members := kernel.FindIn[member.View](&l, modMembers)
	services := kernel.FindIn[catalog.View](&l, modCatalog)
	pool := kernel.FindIn[peer.Dialer](&l, modPeerPool)
	server := kernel.FindIn[*peer.Server](&l, modPeerServer)
	if l.Err != nil {
		return nil, l.Err
	}
	r := relay.New(h.settings.Relay, services, lastHostView{members}, store, h.log, h.metrics)
	r.UseMemory(h.memory.Targets)
	r.SignSender = relayrpc.NewSignSender(pool)
	return r, relayrpc.RegisterSigns(server, r)
}

func (h *Host) newClaims(f kernel.Finder) (kernel.Module, error) {
	l := kernel.Lookup{Finder: f}
	store := kernel.FindIn[objstore.Store](&l, modPlatform)
	pool := kernel.FindIn[peer.Dialer](&l, modPeerPool)
	server := kernel.FindIn[*peer.Server](&l, modPeerServer)
	members := kernel.FindIn[member.View](&l, modMembers)
	services := kernel.FindIn[catalog.View](&l, modCatalog)
	sender := kernel.FindIn[claim.Sender](&l, modRelay)
	if l.Err != nil {
		return nil, l.Err
	}
	c := claim.New(h.settings.Claim, store, sender, claim.NewPeerAttemptClient(pool), members, services, h.log, h.metrics)
	return c, peerpb.DRPCRegisterClaims(server, c)
}

func (h *Host) newRelayRPC(f kernel.Finder) (kernel.Module, error) {
	l := kernel.Lookup{Finder: f}
	server := kernel.FindIn[*peer.Server](&l, modPeerServer)
	searcher := kernel.FindIn[relay.Searcher](&l, modRelay)
	reserver := kernel.FindIn[claim.Reserver](&l, modClaims)
	if l.Err != nil {
		return nil, l.Err
	}
	s := relayrpc.NewServer(searcher, reserver)
	h.modules.relayRPC = s
	return relayRPCModule{s}, s.Register(server)
}

// relayRPCModule adapts a relayrpc.Server to kernel.Module.
type relayRPCModule struct{ server *relayrpc.Server }

// Start does nothing, as the peer server module serves the requests.
func (m relayRPCModule) Start(context.Context) error { return nil }

// Stop refuses new requests and waits for those in progress.
func (m relayRPCModule) Stop(ctx context.Context) error {
	m.server.Drain()
	return m.server.Wait(ctx)
}

func (h *Host) newDelivery(f kernel.Finder) (kernel.Module, error) {
	l := kernel.Lookup{Finder: f}
	store := kernel.FindIn[objstore.Store](&l, modPlatform)
	members := kernel.FindIn[member.View](&l, modMembers)
	if l.Err != nil {
		return nil, l.Err
	}
	return delivery.New(h.settings.Delivery, store, members, h.log, h.metrics), nil
}

func (h *Host) newCompactor(f kernel.Finder) (kernel.Module, error) {
	l := kernel.Lookup{Finder: f}
	store := kernel.FindIn[objstore.Store](&l, modPlatform)
	members := kernel.FindIn[member.View](&l, modMembers)
	services := kernel.FindIn[catalog.View](&l, modCatalog)
	if l.Err != nil {
		return nil, l.Err
	}
	return delivery.NewCompactor(h.settings.Delivery, store, members, objectivesOf(services), h.log, h.metrics), nil
}

func (h *Host) newEntry(f kernel.Finder) (kernel.Module, error) {
	l := kernel.Lookup{Finder: f}
	pool := kernel.FindIn[peer.Dialer](&l, modPeerPool)
	members := kernel.FindIn[member.View](&l, modMembers)
	cat := kernel.FindIn[*catalog.Catalog](&l, modCatalog)
	local := relayClients{
		self:     h.settings.ID,
		dialer:   pool,
		searcher: kernel.FindIn[relay.Searcher](&l, modRelay),
		reserver: kernel.FindIn[claim.Reserver](&l, modClaims),
	}
	recorder := kernel.FindIn[delivery.Recorder](&l, modDelivery)
	if l.Err != nil {
		return nil, l.Err
	}
	return entry.New(h.settings.Entry, cat, lastHostView{members}, local, cat, recorder, h.metrics), nil
}

func (h *Host) newCallers(f kernel.Finder) (kernel.Module, error) {
	e, err := kernel.Find[api.Entry](f, modEntry)
	if err != nil {
		return nil, err
	}
	s := api.NewCallerServer(h.settings.API, h.settings.Addresses.Callers, e, h, h.log)
	s.UseListener(h.listeners.callers)
	return s, nil
}
