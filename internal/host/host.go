// Package host assembles a host process from its settings: it registers every
// module by name with the kernel, opens the listeners, and runs a graceful stop.
// The logic of the modules is in their own packages. Begin reading at Host and
// at register, which lists the modules and their dependencies.
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
	"rhubarbwood.example/rhubarbwood/internal/membudget"
	"rhubarbwood.example/rhubarbwood/internal/peer"
	"rhubarbwood.example/rhubarbwood/internal/relayrpc"
)

// Host is a host process: its modules, listeners and lifecycle.
type Host struct {
	settings    Settings
	log         *event.Log
	clock       *clock.Clock // includes suspensions of the machine; measures the age of cached state
	lifecycle   *kernel.Lifecycle
	kernel      *kernel.Kernel
	metrics     *prometheus.Registry
	peerMetrics *peer.Metrics
	memory      *membudget.Budgets // of the messages of other processes
	listeners   listeners
	modules     modules
}

// modules are the modules that the host calls directly.
type modules struct {
	members  *member.Members
	catalog  *catalog.Catalog
	relayRPC *relayrpc.Server
}

// New returns a host whose modules are constructed and whose listeners are open,
// but nothing is started. It returns an error if an address is in use.
func New(s Settings, log *event.Log) (*Host, error) {
	ln, err := listenOn(s.Addresses)
	if err != nil {
		return nil, err
	}
	h := &Host{
		clock:     clock.New(),
		settings:  s,
		log:       log,
		lifecycle: kernel.NewLifecycle(),
		metrics:   prometheus.NewRegistry(),
		listeners: ln,
	}
	h.peerMetrics = peer.NewMetrics(h.metrics)
	h.memory = membudget.New(s.Memory, h.metrics)
	h.metrics.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	h.kernel = kernel.New(h.lifecycle, s.Stop.ModuleTimeout.Std(), log)
	h.register()
	if err := h.kernel.Build(); err != nil {
		h.listeners.close()
		return nil, Error.Wrap(err)
	}
	return h, nil
}

// Start starts every module. If one fails, those already started are stopped.
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

// Addresses returns the addresses that the host listens on, with the actual ports.
func (h *Host) Addresses() Addresses { return h.listeners.addresses() }

// Ready returns nil if the host accepts callers, or an error with the reason why
// not. The load balancer queries it through the readiness endpoint.
func (h *Host) Ready() error {
	if s := h.lifecycle.State(); s != kernel.Ready {
		return Error.New("the host is %s", s)
	}
	if h.modules.catalog.Stale() {
		return Error.New("the host has lost touch with platform and peers")
	}
	return nil
}

// WaitReady waits until the host accepts callers. If ctx ends first, it returns
// the reason why the host is not ready.
func (h *Host) WaitReady(ctx context.Context) error { return await.Ready(ctx, h.Ready) }

// Leaving reports whether the host is stopping.
func (h *Host) Leaving() bool { return h.lifecycle.State() >= kernel.Leaving }

// Stop shuts the host down gracefully, so that no request is cut off: readiness
// fails, the peers are notified, and relayed requests are refused as not run.
// Callers are served until the balancer lag has passed, and requests in flight
// may use up their budgets. The hard limit of the settings bounds the whole stop;
// the error then names what was cut off.
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

// leave stops new work from arriving: readiness fails for the load balancer, the
// membership announces that the host is leaving, and relayed requests are
// refused. Callers whose requests still arrive are served.
func (h *Host) leave(ctx context.Context) {
	h.kernel.Advance(kernel.Leaving)
	h.log.Event(evHostLeaving).Stringer("balancer_lag", h.settings.Stop.BalancerLag).
		Stringer("hard_limit", h.settings.Stop.HardLimit).Msg("")
	h.modules.members.Leave(ctx)
	h.modules.relayRPC.Drain()
}

// LogRepeatedStop logs that a stop was requested while one was already running.
func (h *Host) LogRepeatedStop() { h.log.Event(evStopRepeated).Msg("") }
