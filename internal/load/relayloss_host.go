package load

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/claim"
	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/query"
	"rhubarbwood.example/rhubarbwood/internal/relay"
)

// slowFactor multiplies the latency of a slow host.
const slowFactor = 10

var errHostLost = Error.New("connection to killed host is lost")

// hostFault is the fault injected into a host.
type hostFault string

const (
	hostHealthy hostFault = ""
	hostKilled  hostFault = "killed"  // calls to it fail
	hostFrozen  hostFault = "frozen"  // calls to it are never answered
	hostSlow    hostFault = "slow"    // results take slowFactor times as long
	hostLeaving hostFault = "leaving" // it refuses relayed work without running it
)

// lossHost is one host of a lossSite.
type lossHost struct {
	*siteHost
	member           member.Host
	members          *delayedMembers
	receivesRequests bool // gets requests of callers; guarded by lossSite.mu

	fault        atomic.Value  // hostFault
	unresponsive chan struct{} // closes when the host is killed or frozen
	closeOnce    sync.Once
}

func (h *lossHost) currentFault() hostFault {
	f, _ := h.fault.Load().(hostFault)
	return f
}

// setFault injects a fault. A killed or frozen host doesn't recover.
func (h *lossHost) setFault(f hostFault) {
	h.fault.Store(f)
	if f == hostKilled || f == hostFrozen {
		h.closeOnce.Do(func() { close(h.unresponsive) })
	}
}

// lossSiteRelays implements entry.RelayClients for one host. Relays on other hosts are
// a round trip away and may have faults.
type lossSiteRelays struct {
	site *lossSite
	self string
}

// Searcher implements entry.RelayClients.
func (a *lossSiteRelays) Searcher(h member.Host) relay.Searcher {
	host := a.site.host(h.ID)
	if h.ID == a.self {
		return host.relay
	}
	return &faultyRelay{remoteRelay{host.relay}, host}
}

// Reserver implements entry.RelayClients. It is unused, as the runs reserve nothing.
func (a *lossSiteRelays) Reserver(member.Host) claim.Reserver { return nil }

// faultyRelay is the relay on another host, subject to the fault of that host.
type faultyRelay struct {
	remoteRelay
	host *lossHost
}

// Search implements relay.Searcher.
func (s *faultyRelay) Search(ctx context.Context, b query.Batch, emit func(query.ShardResult)) error {
	if s.host.currentFault() == hostLeaving {
		return s.refuseDraining(ctx, b, emit)
	}
	callerCtx := ctx
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		select {
		case <-s.host.unresponsive:
			cancel()
		case <-ended:
		}
	}()
	err := s.forwardResults(ctx, b, emit)
	switch s.host.currentFault() {
	case hostKilled:
		return errHostLost
	case hostFrozen:
		<-callerCtx.Done()
		return Error.New("wait for response of frozen host: %w", callerCtx.Err())
	}
	return err
}

// refuseDraining refuses all shards as a leaving host does, without running them.
func (s *faultyRelay) refuseDraining(ctx context.Context, b query.Batch, emit func(query.ShardResult)) error {
	if err := sleepUntil(ctx, time.Now().Add(hostRoundTrip)); err != nil {
		return err
	}
	for _, p := range b.Parts {
		for _, shard := range p.Shards {
			emit(query.ShardResult{
				Key:     query.ShardKey{Service: p.Service, Shard: shard},
				Outcome: outcome.NotSent,
				Reason:  query.ReasonDraining,
			})
		}
	}
	return nil
}

// forwardResults runs the search and emits its results until the host becomes
// unresponsive. Results of a slow host are delayed to slowFactor times their
// latency.
func (s *faultyRelay) forwardResults(ctx context.Context, b query.Batch, emit func(query.ShardResult)) error {
	start := time.Now()
	var mu sync.Mutex
	var delayed sync.WaitGroup
	forward := func(r query.ShardResult) {
		mu.Lock()
		defer mu.Unlock()
		if ctx.Err() == nil {
			emit(r)
		}
	}
	err := s.remoteRelay.Search(ctx, b, func(r query.ShardResult) {
		if s.host.currentFault() != hostSlow {
			forward(r)
			return
		}
		at := start.Add(slowFactor * time.Since(start))
		delayed.Go(func() {
			if sleepUntil(ctx, at) == nil {
				forward(r)
			}
		})
	})
	delayed.Wait()
	return err
}
