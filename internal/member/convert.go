package member

import "rhubarbwood.example/rhubarbwood/internal/peer/peerpb"

func toInfo(u update) *peerpb.HostInfo {
	return &peerpb.HostInfo{
		Id: u.ID, FailureDomain: u.FailureDomain, Peer: u.PeerAddress, Api: u.APIAddress,
		Incarnation: u.Incarnation, State: string(u.State), Revision: u.Revision, StateVersion: u.Version,
		LinkMbps: u.LinkMbps,
	}
}

func toInfos(us []update) []*peerpb.HostInfo {
	infos := make([]*peerpb.HostInfo, len(us))
	for i, u := range us {
		infos[i] = toInfo(u)
	}
	return infos
}

// fromInfo converts a received record. It returns false if a required field is
// missing or the state is unknown.
func fromInfo(i *peerpb.HostInfo) (update, bool) {
	if i.GetId() == "" || i.GetPeer() == "" {
		return update{}, false
	}
	h := Host{
		ID: i.Id, FailureDomain: i.FailureDomain, PeerAddress: i.Peer, APIAddress: i.Api,
		Incarnation: i.Incarnation, State: State(i.State), Revision: i.Revision,
		LinkMbps: i.LinkMbps,
	}
	switch h.State {
	case Alive, Suspect, Leaving, Dead:
		return update{Host: h, Version: i.StateVersion}, true
	default:
		return update{}, false
	}
}
