package relay

import (
	"context"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/await"
	"rhubarbwood.example/rhubarbwood/internal/objstore"
	"rhubarbwood.example/rhubarbwood/internal/plan"
)

// hostListKey is hashed with the host ids to choose the hosts that read the
// list.
const hostListKey = "host-list"

// ApplyHostList applies a host list of the platform, from polling or another
// source.
func (r *Relay) ApplyHostList(hosts []objstore.ListedHost) {
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
		isLeaving, listed := leaving[t.conf.ID]
		if listed {
			p.applyListing(now, t, isLeaving)
		}
	}
	refused := p.dispatch(now)
	p.mu.Unlock()
	refused.notify()
}

// applyListing applies the listing of a target. Every change is announced to
// the relays of the service, even if this host is not one of them or already
// had a sign, because the relays may not read the list themselves.
func (p *pool) applyListing(now time.Time, t *target, leaving bool) {
	changed, first := t.health.applyListing(now, leaving, p.relay.cfg.HostListLag.Std())
	if first {
		p.recordLeaving(t)
	}
	switch {
	case !changed:
	case leaving && t.health.announced == signNone:
		p.announce(now, t, signHostList)
	case !leaving && t.health.announced == signHostList:
		p.announce(now, t, signRelisted)
		t.health.announced = signNone
	}
	if changed && !leaving && !p.assigned {
		t.health.clearListSign() // this host polls no status of the target, so nothing else shows its return
	}
}

// pollHostList reads the host list periodically while this host is one of its
// readers.
func (r *Relay) pollHostList(ctx context.Context) {
	for ctx.Err() == nil {
		if r.readsHostList() {
			r.fetchHostList(ctx)
		}
		await.Sleep(ctx, jitter(r.cfg.HostListInterval.Std()))
	}
}

// readsHostList reports whether this host is one of the HostListPollers hosts
// that read the list. Their number is limited because the platform counts
// every call.
func (r *Relay) readsHostList() bool {
	return containsHost(plan.Relays(hostListKey, r.members.Hosts(), r.cfg.HostListPollers), r.members.Self().ID)
}

func (r *Relay) fetchHostList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.HostListInterval.Std())
	defer cancel()
	hosts, err := r.hosts.Hosts(ctx)
	if err != nil {
		r.metrics.polls.WithLabelValues("host_list", "failed").Inc()
		if !r.hostListFailing {
			r.log.Event(evHostListUnread).Str("cause", err.Error()).Msg("")
		}
		r.hostListFailing = true
		return
	}
	r.hostListFailing = false
	r.metrics.polls.WithLabelValues("host_list", "answered").Inc()
	r.ApplyHostList(hosts)
}
