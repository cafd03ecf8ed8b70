package host

import (
	"slices"

	"rhubarbwood.example/rhubarbwood/internal/member"
)

// lastHostView is the view of the membership that entry and relay use. A leaving
// host gets no relayed requests. If there is no other usable host, however, the
// leaving host treats itself as alive, so that it can still relay the requests of
// its own callers, which arrive until the load balancer has reacted.
type lastHostView struct{ member.View }

// Hosts returns the hosts. If none is usable and this host is leaving, this host
// is returned as alive.
func (v lastHostView) Hosts() []member.Host {
	hosts := v.View.Hosts()
	if slices.ContainsFunc(hosts, member.Host.Usable) {
		return hosts
	}
	self := v.Self().ID
	at := slices.IndexFunc(hosts, func(h member.Host) bool { return h.ID == self && h.State == member.Leaving })
	if at < 0 {
		return hosts
	}
	last := slices.Clone(hosts)
	last[at].State = member.Alive
	return last
}
