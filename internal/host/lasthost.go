package host

import (
	"slices"

	"rhubarbwood.example/rhubarbwood/internal/member"
)

// lastHostView is the membership as entry and relay see it. A leaving host
// gets no relayed work, but the last one has nobody to turn to: it then
// counts itself as alive and relays its own callers' work, which the balancer
// goes on sending until it has noticed.
type lastHostView struct{ member.View }

// Hosts returns the hosts; one that leaves as the last one is alive here.
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
