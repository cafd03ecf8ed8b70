package catalog

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"rhubarbwood.example/rhubarbwood/internal/await"
	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/objstore"
	"rhubarbwood.example/rhubarbwood/internal/peer/peerpb"
)

const (
	stalePullInterval = 250 * time.Millisecond // interval at which a stale host pulls
	stalePullPeers    = 4                      // peers that a stale host pulls from per interval
	maxPullAttempts   = 3                      // peers tried one after the other when pulls fail
	maxPullPages      = 64                     // per pull
)

// Hint schedules a pull from a peer that has reported a newer revision. It does
// not block; of several pending hints the one with the newest revision is used.
func (c *Catalog) Hint(peer member.Host) {
	c.mu.Lock()
	if peer.Revision > c.newestHint.Revision {
		c.newestHint = peer
	}
	c.mu.Unlock()
	select {
	case c.hintSignal <- struct{}{}:
	default:
	}
}

// hintLoop pulls from peers that have reported a newer revision.
func (c *Catalog) hintLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.hintSignal:
		}
		c.mu.Lock()
		peer := c.newestHint
		c.newestHint = member.Host{}
		c.mu.Unlock()
		if peer.Revision > c.Revision() {
			c.pull(ctx, peer)
		}
	}
}

// pullLoop pulls from a random peer at each interval. This keeps the host fresh
// and delivers changes whose hints were lost. If a pull fails, another peer is
// tried immediately: with a quarter of the hosts unreachable, four failures in a
// row are not rare in a fleet, and would make this host stale. A stale host pulls
// from several peers at a shorter interval.
func (c *Catalog) pullLoop(ctx context.Context) {
	for ctx.Err() == nil {
		interval := c.cfg.PullInterval.Std()
		if c.Stale() {
			interval = stalePullInterval
			for _, p := range c.randomPeers(stalePullPeers) {
				c.goroutines.Go(func() { c.pull(ctx, p) })
			}
		} else {
			c.goroutines.Go(func() { c.pullFromAny(ctx) })
		}
		await.Sleep(ctx, interval)
		c.reportFreshness()
	}
}

// pullFromAny pulls from a random peer, and on failure from up to two others.
func (c *Catalog) pullFromAny(ctx context.Context) {
	for _, p := range c.randomPeers(maxPullAttempts) {
		if c.pull(ctx, p) {
			return
		}
	}
}

// randomPeers returns up to n different usable hosts other than this one.
func (c *Catalog) randomPeers(n int) []member.Host {
	self := c.members.Self()
	var peers []member.Host
	for _, h := range c.members.Hosts() {
		if h.ID != self.ID && h.Usable() {
			peers = append(peers, h)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rng.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(n, len(peers))]
}

// pull fetches from a peer the changes after this host's last one, applies them
// and reports whether that succeeded.
func (c *Catalog) pull(ctx context.Context, from member.Host) bool {
	sentAt := c.clock.Now()
	b, last, err := c.fetchPages(ctx, from)
	if err == nil {
		err = c.applyBatch(b, sourcePeer)
	}
	if err != nil {
		c.metrics.pulls.WithLabelValues("failed").Inc()
		return false
	}
	c.metrics.pulls.WithLabelValues("ok").Inc()
	c.recordPeerAnswer(from, sentAt, last)
	return true
}

// fetchPages requests all pages and returns them as one batch, and the last
// page.
func (c *Catalog) fetchPages(ctx context.Context, from member.Host) (batch, *peerpb.PullReply, error) {
	b := batch{after: c.state.Load().complete}
	in := &peerpb.PullRequest{AfterRevision: b.after}
	for range maxPullPages {
		out, err := c.pullPage(ctx, from, in)
		if err != nil {
			return b, nil, err
		}
		if in.Cursor > 0 && out.Full != b.full {
			return b, nil, Error.New("pull from %s: the peer discarded deletions between two pages", from.ID)
		}
		b.addPage(out)
		if !out.More || len(out.Objects) == 0 {
			return b, out, nil
		}
		in.Cursor = out.Objects[len(out.Objects)-1].Revision
	}
	return b, nil, Error.New("pull from %s: more than %d pages", from.ID, maxPullPages)
}

// pullPage requests one page of changes from a host.
func (c *Catalog) pullPage(ctx context.Context, from member.Host, in *peerpb.PullRequest) (*peerpb.PullReply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.PullTimeout.Std())
	defer cancel()
	out, err := c.puller.Pull(ctx, from.PeerAddress, in)
	if err != nil {
		return nil, Error.New("pull from %s: %w", from.ID, err)
	}
	c.metrics.pulledBytes.Add(float64(proto.Size(out)))
	return out, nil
}

// addPage appends a page. The revisions of the last page are valid for all
// pages, since an object that changes between two pages is in the later one.
func (b *batch) addPage(out *peerpb.PullReply) {
	b.revision, b.complete, b.floor = out.Revision, out.Complete, out.Floor
	b.full = out.Full
	for _, o := range out.Objects {
		b.objects = append(b.objects, objstore.Object{
			Kind: o.Kind, Name: o.Name, Version: o.Version, Revision: o.Revision,
			Value: o.Value, Deleted: o.Deleted,
		})
	}
	for _, o := range out.Held {
		b.unchanged = append(b.unchanged, key{o.Kind, o.Name})
	}
}

// recordPeerAnswer records a peer's response to a request that was sent at the
// given time, and the ages of platform responses that it reports.
func (c *Catalog) recordPeerAnswer(from member.Host, sentAt time.Time, out *peerpb.PullReply) {
	c.mu.Lock()
	switch {
	case !out.Stale:
		c.freshness.confirm(sentAt, c.hostCount())
	case out.Complete > 0:
		c.freshness.confirmStale(from.ID, sentAt)
	}
	for l, age := range out.PlatformAgeUs {
		if age >= 0 {
			c.platformAnswers.record(l, sentAt.Add(-time.Duration(age)*time.Microsecond))
		}
	}
	c.mu.Unlock()
	c.reportFreshness()
}
