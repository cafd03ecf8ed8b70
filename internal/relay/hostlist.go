package relay

import (
	"context"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/await"
	"rhubarbwood.example/rhubarbwood/internal/objstore"
	"rhubarbwood.example/rhubarbwood/internal/plan"
)

// hostListKey is hashed with the host ids to choose who reads the list.
const hostListKey = "host-list"

// ApplyHostList takes the platform's list of hosts, by whatever way it came.
func (r *Relay) ApplyHostList(hosts []objstore.LiveHost) {
	leaving := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		leaving[h.ID] = h.Leaving
	}
	for _, p := range r.current().pools {
		p.applyHostList(leaving)
	}
}

func (p *pool) applyHostList(leaving map[string]bool) {
	now := time.Now()
	p.mu.Lock()
	for _, t := range p.targets {
		l, listed := leaving[t.conf.ID]
		if listed {
			p.list(now, t, l)
		}
	}
	refused := p.drain(now)
	p.mu.Unlock()
	refused.tell()
}

// list takes the platform's word on a target. A turn is told to the relays
// even if this host is none of them, or had a sign before, as a reader of the
// list may know what no relay does.
func (p *pool) list(now time.Time, t *target, leaving bool) {
	turned, first := t.health.list(now, leaving, p.relay.cfg.HostListLag.Std())
	if first {
		p.left(t)
	}
	switch {
	case !turned:
	case leaving && t.health.told == signNone:
		p.tell(now, t, signHostList)
	case !leaving && t.health.told == signHostList:
		p.tell(now, t, signListed)
		t.health.told = signNone
	}
	if turned && !leaving && !p.own {
		t.health.forget() // nothing else tells this host that the target came back
	}
}

// pollHostList reads the list as long as this host is one of its readers.
func (r *Relay) pollHostList(ctx context.Context) {
	for ctx.Err() == nil {
		if r.readsHostList() {
			r.readHostList(ctx)
		}
		await.Sleep(ctx, jitter(r.cfg.HostListInterval.Std()))
	}
}

// readsHostList reports whether this host is one of the few that read the
// list; the platform counts every call.
func (r *Relay) readsHostList() bool {
	return contains(plan.Relays(hostListKey, r.members.Hosts(), r.cfg.HostListPollers), r.members.Self().ID)
}

func (r *Relay) readHostList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.HostListInterval.Std())
	defer cancel()
	hosts, err := r.hosts.Hosts(ctx)
	if err != nil {
		r.metrics.polls.WithLabelValues("host_list", "failed").Inc()
		if !r.listUnread {
			r.log.Event(evHostList).Str("cause", err.Error()).Msg("")
		}
		r.listUnread = true
		return
	}
	r.listUnread = false
	r.metrics.polls.WithLabelValues("host_list", "answered").Inc()
	r.ApplyHostList(hosts)
}
