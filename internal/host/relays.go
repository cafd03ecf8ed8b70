package host

import (
	"rhubarbwood.example/rhubarbwood/internal/claim"
	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/peer"
	"rhubarbwood.example/rhubarbwood/internal/relay"
	"rhubarbwood.example/rhubarbwood/internal/relayrpc"
)

// relays is the entry.Relays of a host: its own relay is called in process,
// the others over drpc.
type relays struct {
	self     string
	dialer   peer.Dialer
	searcher relay.Searcher
	reserver claim.Reserver
}

// Searcher returns the relay of the host.
func (r relays) Searcher(h member.Host) relay.Searcher {
	if h.ID == r.self {
		return r.searcher
	}
	return relayrpc.NewClient(r.dialer, h.Peer, r.self)
}

// Reserver returns the reserver of the host.
func (r relays) Reserver(h member.Host) claim.Reserver {
	if h.ID == r.self {
		return r.reserver
	}
	return relayrpc.NewClient(r.dialer, h.Peer, r.self)
}
