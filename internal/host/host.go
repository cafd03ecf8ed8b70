package host

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"rhubarbwood.example/rhubarbwood/internal/await"
	"rhubarbwood.example/rhubarbwood/internal/catalog"
	"rhubarbwood.example/rhubarbwood/internal/clock"
	"rhubarbwood.example/rhubarbwood/internal/event"
	"rhubarbwood.example/rhubarbwood/internal/kernel"
	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/peer"
	"rhubarbwood.example/rhubarbwood/internal/relayrpc"
)

// Host is one process of the system.
type Host struct {
	settings    Settings
	log         *event.Log
	clock       *clock.Clock // of ages
	life        *kernel.Lifecycle
	kernel      *kernel.Kernel
	metrics     *prometheus.Registry
	peerMetrics *peer.Metrics
	listeners   listeners
	parts       parts
}

// parts are the modules that the host itself calls.
type parts struct {
	members  *member.Members
	catalog  *catalog.Catalog
	relayRPC *relayrpc.Server
}

// New returns a host with every module built and every address taken, but
// nothing started. An address in use is an error here.
func New(s Settings, log *event.Log) (*Host, error) {
	ln, err := listenOn(s.Addresses)
	if err != nil {
		return nil, err
	}
	h := &Host{
		clock:     clock.New(),
		settings:  s,
		log:       log,
		life:      kernel.NewLifecycle(),
		metrics:   prometheus.NewRegistry(),
		listeners: ln,
	}
	h.peerMetrics = peer.NewMetrics(h.metrics)
	h.metrics.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	h.kernel = kernel.New(h.life, s.Stop.ModuleTimeout.Std(), log)
	h.register()
	if err := h.kernel.Build(); err != nil {
		h.listeners.close()
		return nil, Error.Wrap(err)
	}
	return h, nil
}

// Start starts every module. If one fails, none is left running.
func (h *Host) Start(ctx context.Context) error {
	if err := h.kernel.Start(ctx); err != nil {
		h.listeners.close()
		return Error.Wrap(err)
	}
	at := h.Addresses()
	h.log.Event(evHostStarted).Str("callers", at.Callers).Str("operators", at.Operators).Str("peers", at.Peers).
		Str("failure_domain", h.settings.FailureDomain).Msg("")
	return nil
}

// Addresses returns where the host listens, with the ports that were taken.
func (h *Host) Addresses() Addresses { return h.listeners.addresses() }

// Ready returns why the host takes no callers, or nil; the balancer asks.
func (h *Host) Ready() error {
	if s := h.life.State(); s != kernel.Ready {
		return Error.New("the host is %s", s)
	}
	if h.parts.catalog.Stale() {
		return Error.New("the host has lost touch with platform and peers")
	}
	return nil
}

// WaitReady waits until the host takes callers, or returns why it doesn't
// when ctx is done.
func (h *Host) WaitReady(ctx context.Context) error { return await.Ready(ctx, h.Ready) }

// Leaving reports whether the host is stopping.
func (h *Host) Leaving() bool { return h.life.State() >= kernel.Leaving }

// Stop leaves gracefully, so that no request is cut off: readiness fails, the
// peers are told, relayed work is refused as not run, callers are served until
// the balancer has noticed, and what is in flight ends by its own budget. The
// hard limit of the settings ends all that; the error names what it cut.
func (h *Host) Stop(ctx context.Context) error {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, h.settings.Stop.HardLimit.Std())
	defer cancel()
	h.leave(ctx)
	await.Sleep(ctx, h.settings.Stop.BalancerLag.Std())
	if err := h.kernel.Stop(ctx); err != nil {
		h.log.Event(evHostCut).Err(err).Dur("took", time.Since(began)).Msg("")
		return Error.Wrap(err)
	}
	h.log.Event(evHostStopped).Dur("took", time.Since(began)).Msg("")
	return nil
}

// leave turns new work away: the balancer's by readiness, relayed work by the
// membership and by refusing it. Callers who still come are served.
func (h *Host) leave(ctx context.Context) {
	h.kernel.Advance(kernel.Leaving)
	h.log.Event(evHostLeaving).Stringer("balancer_lag", h.settings.Stop.BalancerLag).
		Stringer("hard_limit", h.settings.Stop.HardLimit).Msg("")
	h.parts.members.Leave(ctx)
	h.parts.relayRPC.Drain()
}

// StopRepeated notes that a stop was asked for while one goes on.
func (h *Host) StopRepeated() { h.log.Event(evStopRepeated).Msg("") }
