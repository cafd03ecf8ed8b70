package host

import (
	"rhubarbwood.example/rhubarbwood/internal/claim"
	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/peer"
	"rhubarbwood.example/rhubarbwood/internal/relay"
	"rhubarbwood.example/rhubarbwood/internal/relayrpc"
)

// relayClients implements entry.RelayClients: it calls the host's own relay in process
// and those of other hosts over DRPC.
type relayClients struct {
	self     string
	dialer   peer.Dialer
	searcher relay.Searcher
	reserver claim.Reserver
}

// Searcher returns the searcher of host h.
func (r relayClients) Searcher(h member.Host) relay.Searcher {
	if h.ID == r.self {
		return r.searcher
	}
	return relayrpc.NewClient(r.dialer, h.PeerAddress, r.self)
}

// Reserver returns the reserver of host h.
func (r relayClients) Reserver(h member.Host) claim.Reserver {
	if h.ID == r.self {
		return r.reserver
	}
	return relayrpc.NewClient(r.dialer, h.PeerAddress, r.self)
}
