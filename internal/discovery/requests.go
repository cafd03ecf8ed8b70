package discovery

import (
	"context"
	"math"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/await"
	"rhubarbwood.example/rhubarbwood/internal/peer/peerpb"
	"rhubarbwood.example/rhubarbwood/internal/quarantine"
)

// What hosts hold against requests goes the way of the findings: to the hosts that watch the
// store, and from these to all that follow them. It is kept there as long as it counts, so that
// a host that starts is told all of it. Unlike a finding it must not be lost: a host
// that does not know of it lets the request end targets.

// RequestStore is what the store holds of requests in quarantine: it is read into the
// table by hosts that have to ask the store themselves.
type RequestStore interface {
	Read(ctx context.Context) error
}

// ShareRequests makes what is held against requests part of the news for other hosts. It is
// to be called before the state is used.
func (s *State) ShareRequests(t *quarantine.Table) {
	s.requests = t
	t.Follow(func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.wakePeers()
	})
}

const (
	// tellAgainAfter is the time between two tries to tell a host that watches the store.
	tellAgainAfter = 250 * time.Millisecond
	// tellFor is for how long that is tried: another host has become the watcher by then, and
	// asks the rest for what it lacks.
	tellFor = 10 * time.Second
)

// tellRequests tells the peers what this host finds of requests, until all that watch the store
// know it.
func (f *Follower) tellRequests(ctx context.Context) {
	for ctx.Err() == nil {
		records := f.state.requests.NextOwn(ctx)
		f.done.Go(func() { f.tellUntilKnown(ctx, records) })
	}
}

func (f *Follower) tellUntilKnown(ctx context.Context, records []quarantine.Record) {
	for since := time.Now(); time.Since(since) < tellFor; {
		limited, cancel := context.WithTimeout(ctx, f.cfg.peerTimeout())
		missed := f.peers.TellRequests(limited, records)
		cancel()
		if missed == 0 || !await.Sleep(ctx, tellAgainAfter) {
			return
		}
	}
}

// mergeRequests takes what a peer holds against requests.
func (s *State) mergeRequests(records []quarantine.Record) {
	if s.requests != nil && len(records) > 0 {
		s.requests.Merge(records)
	}
}

// ReadRequests makes the follower read what the store holds of requests in quarantine, on a
// host that has to ask the store. It is to be called before Start.
func (f *Follower) ReadRequests(s RequestStore) { f.requests = s }

// reviewHeldAfter is the time between two readings of the requests in quarantine while there are
// any: what an operator has cleared, and what hosts that this one could not reach have found.
const reviewHeldAfter = 10 * time.Second

// followRequests reads the requests in quarantine: once after the start, then while there are
// any, and all the time on a host that no other one can tell.
func (f *Follower) followRequests(ctx context.Context, l *link) error {
	if l.listed && time.Since(l.readAt) < f.reviewAfter() {
		await.Sleep(ctx, lookEvery)
		return nil
	}
	if err := f.requests.Read(ctx); err != nil {
		return err
	}
	l.reached()
	l.pause.Reset()
	l.read()
	return nil
}

// reviewAfter returns how old the reading of the requests in quarantine may be.
func (f *Follower) reviewAfter() time.Duration {
	switch {
	case f.peers.Isolated() || !f.peers.Watches():
		return f.cfg.watchWait()
	case len(f.state.requests.Held()) > 0:
		return reviewHeldAfter
	}
	return math.MaxInt64
}

// TellRequests implements Peers. It tells all hosts that watch the store at once, and returns
// how many it did not reach.
func (s *Spread) TellRequests(ctx context.Context, records []quarantine.Record) (missed int) {
	in := &peerpb.Findings{Requests: quarantine.AllToWire(records, s.state.clock.Now())}
	results := make(chan error)
	watchers := except(s.divided().allWatchers(), s.members.Self().ID)
	for _, w := range watchers {
		go func() {
			_, err := peerpb.NewDRPCDiscoveryClient(s.dialer.Conn(ctx, w.Peer)).Tell(ctx, in)
			results <- err
		}()
	}
	for range watchers {
		if err := <-results; err != nil {
			missed++
		}
	}
	return missed
}
