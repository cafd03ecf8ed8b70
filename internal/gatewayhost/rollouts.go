package gatewayhost

import (
	"rhubarbwood.example/rhubarbwood/internal/gateway"
	"rhubarbwood.example/rhubarbwood/internal/kernel"
	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/objstore"
	"rhubarbwood.example/rhubarbwood/internal/peer"
	"rhubarbwood.example/rhubarbwood/internal/rollouts"
)

// newRollouts returns the module that carries out rollout orders.
func (h *Host) newRollouts(f kernel.Finder) (kernel.Module, error) {
	l := kernel.Lookup{Finder: f}
	records := kernel.FindIn[objstore.Records](&l, modPlatform)
	store := kernel.FindIn[objstore.Store](&l, modStore)
	members := kernel.FindIn[member.View](&l, modMembers)
	state := kernel.FindIn[stateModule](&l, modState)
	exchange := kernel.FindIn[stateExchangeModule](&l, modStateExchange)
	g := kernel.FindIn[*gateway.Gateway](&l, modGateway)
	pool := kernel.FindIn[peer.Dialer](&l, modPeerPool)
	server := kernel.FindIn[*peer.Server](&l, modPeers)
	if l.Err != nil {
		return nil, l.Err
	}
	orders := rollouts.NewCachedOrders(state.State)
	keeper := rollouts.NewKeeper(h.settings.Rollout, rollouts.Parts{
		Orders: orders, Gateway: g, Members: members, Turns: exchange, Peers: rollouts.Client{Dialer: pool},
		Statuses: h.platform.Statuses(records), Store: store, Clock: h.system.Clock, Log: h.log, Metrics: h.metrics,
	})
	orders.OnChange(keeper.Wake)
	return keeper, keeper.Register(server)
}
