package discovery

import (
	"context"
	"math"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/await"
	"rhubarbwood.example/rhubarbwood/internal/peer/peerpb"
	"rhubarbwood.example/rhubarbwood/internal/quarantine"
)

// Quarantine records take the same path as findings: to the watching hosts, and from these to all
// hosts that poll them. They are kept there as long as they are valid, so that a starting host gets
// all of them. Unlike findings they must not be lost: a host without the record lets the request
// crash more targets.

// QuarantineStore is the stored quarantine records. Read loads them into the quarantine table;
// hosts that have to read the store themselves call it.
type QuarantineStore interface {
	Read(ctx context.Context) error
}

// ShareQuarantine makes the records of a quarantine table part of the updates for other hosts. Call
// it before the state is used.
func (s *State) ShareQuarantine(t *quarantine.Table) {
	s.quarantined = t
	t.Follow(func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.wakePolls()
	})
}

const (
	// sendRetryDelay is the time between two attempts to send records to a watching host.
	sendRetryDelay = 250 * time.Millisecond
	// sendRetryPeriod is how long sending is retried. After that another host has become the
	// watching one and polls the rest for what it lacks.
	sendRetryPeriod = 10 * time.Second
)

// sendRequests sends the quarantine records that this host creates to all watching hosts.
func (f *Follower) sendRequests(ctx context.Context) {
	for ctx.Err() == nil {
		records := f.state.quarantined.NextOwn(ctx)
		f.tasks.Go(func() { f.sendUntilReceived(ctx, records) })
	}
}

func (f *Follower) sendUntilReceived(ctx context.Context, records []quarantine.Record) {
	for since := time.Now(); time.Since(since) < sendRetryPeriod; {
		limited, cancel := context.WithTimeout(ctx, f.cfg.peerPollTimeout())
		missed := f.peers.SendRequests(limited, records)
		cancel()
		if missed == 0 || !await.Sleep(ctx, sendRetryDelay) {
			return
		}
	}
}

// mergeRequests merges the quarantine records of a peer.
func (s *State) mergeRequests(records []quarantine.Record) {
	if s.quarantined != nil && len(records) > 0 {
		s.quarantined.Merge(records)
	}
}

// SetQuarantineStore sets the stored quarantine records, which the follower reads on a host that has to
// read the store. Call it before Start.
func (f *Follower) SetQuarantineStore(s QuarantineStore) { f.quarantineStore = s }

// quarantineReadInterval is the time between two reads of the stored quarantine records while any
// request is quarantined. They show what an operator has cleared, and what hosts have found that
// this one cannot reach.
const quarantineReadInterval = 10 * time.Second

// followQuarantine reads the stored quarantine records: once after the start, then while any
// request is quarantined, and continually on a host that gets no updates from watching ones.
func (f *Follower) followQuarantine(ctx context.Context, feed *feed) error {
	if feed.listed && time.Since(feed.listedAt) < f.maxQuarantineAge() {
		await.Sleep(ctx, checkInterval)
		return nil
	}
	if err := f.quarantineStore.Read(ctx); err != nil {
		return err
	}
	feed.noteAnswer()
	feed.backoff.Reset()
	feed.noteListed()
	return nil
}

// maxQuarantineAge returns the age at which the quarantine records have to be read again.
func (f *Follower) maxQuarantineAge() time.Duration {
	switch {
	case f.peers.Isolated() || !f.peers.Watches():
		return f.cfg.watchWait()
	case len(f.state.quarantined.QuarantinedKeys()) > 0:
		return quarantineReadInterval
	}
	return math.MaxInt64
}

// SendRequests implements Peers. It sends to all watching hosts concurrently and returns how many
// it could not reach.
func (s *Exchange) SendRequests(ctx context.Context, records []quarantine.Record) (missed int) {
	findings := &peerpb.Findings{Requests: quarantine.AllToWire(records, s.state.clock.Now())}
	results := make(chan error)
	watchers := usableExcept(s.currentGroups().allWatchers(), s.members.Self().ID)
	for _, w := range watchers {
		go func() {
			_, err := peerpb.NewDRPCDiscoveryClient(s.dialer.Conn(ctx, w.PeerAddress)).Tell(ctx, findings)
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
