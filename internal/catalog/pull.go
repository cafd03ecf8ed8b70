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
	staleInterval = 250 * time.Millisecond // between rounds of pulls of a stale host
	stalePeers    = 4                      // asked in one such round
	pullTries     = 3                      // peers asked in turn when pulls fail
	maxPages      = 64                     // of one pull
)

// Hint tells that a peer has shown a newer revision, which is then pulled. It
// does not block; of several hints the one with the newest revision counts.
func (c *Catalog) Hint(peer member.Host) {
	c.mu.Lock()
	if peer.Revision > c.hint.Revision {
		c.hint = peer
	}
	c.mu.Unlock()
	select {
	case c.hints <- struct{}{}:
	default:
	}
}

// hintLoop pulls from the peers that showed a newer revision.
func (c *Catalog) hintLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.hints:
		}
		c.mu.Lock()
		peer := c.hint
		c.hint = member.Host{}
		c.mu.Unlock()
		if peer.Revision > c.Revision() {
			c.pull(ctx, peer)
		}
	}
}

// pullLoop pulls from a random peer at each interval. That keeps this host
// fresh and brings what the hints have missed. When the pull fails another peer
// is asked at once: with a quarter of the hosts out of reach, four failures in a
// row are not rare in a fleet, and would make this host stale. A stale host asks
// several at short intervals.
func (c *Catalog) pullLoop(ctx context.Context) {
	for ctx.Err() == nil {
		interval := c.cfg.PullInterval.Std()
		if c.Stale() {
			interval = staleInterval
			for _, p := range c.randomPeers(stalePeers) {
				c.done.Go(func() { c.pull(ctx, p) })
			}
		} else {
			c.done.Go(func() { c.pullFromAny(ctx) })
		}
		await.Sleep(ctx, interval)
		c.noteFreshness()
	}
}

// pullFromAny pulls from one random peer, or from another if that fails.
func (c *Catalog) pullFromAny(ctx context.Context) {
	for _, p := range c.randomPeers(pullTries) {
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

// pull takes from a peer what changed since this host's last change, and
// reports whether the peer answered.
func (c *Catalog) pull(ctx context.Context, from member.Host) bool {
	asked := c.clock.Now()
	b, last, err := c.fetch(ctx, from)
	if err == nil {
		err = c.applyBatch(b, sourcePeer)
	}
	if err != nil {
		c.metrics.pulls.WithLabelValues("failed").Inc()
		return false
	}
	c.metrics.pulls.WithLabelValues("ok").Inc()
	c.heardPeer(from, asked, last)
	return true
}

// fetch asks for all pages and returns them as one batch, with the last one.
func (c *Catalog) fetch(ctx context.Context, from member.Host) (batch, *peerpb.PullReply, error) {
	b := batch{after: c.state.Load().complete}
	in := &peerpb.PullRequest{AfterRevision: b.after}
	for range maxPages {
		out, err := c.pullPage(ctx, from, in)
		if err != nil {
			return b, nil, err
		}
		if in.Cursor > 0 && out.Full != b.full {
			return b, nil, Error.New("pull from %s: its deletions were forgotten between two pages", from.ID)
		}
		b.add(out)
		if !out.More || len(out.Objects) == 0 {
			return b, out, nil
		}
		in.Cursor = out.Objects[len(out.Objects)-1].Revision
	}
	return b, nil, Error.New("pull from %s: more than %d pages", from.ID, maxPages)
}

// pullPage asks a host for one page of changes.
func (c *Catalog) pullPage(ctx context.Context, from member.Host, in *peerpb.PullRequest) (*peerpb.PullReply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.PullTimeout.Std())
	defer cancel()
	out, err := c.puller.Pull(ctx, from.Peer, in)
	if err != nil {
		return nil, Error.New("pull from %s: %w", from.ID, err)
	}
	c.metrics.pulled.Add(float64(proto.Size(out)))
	return out, nil
}

// add appends a page. The revisions of the last page hold for all of them,
// since an object that changed between two pages is in the later one.
func (b *batch) add(out *peerpb.PullReply) {
	b.revision, b.complete, b.floor = out.Revision, out.Complete, out.Floor
	b.full = out.Full
	for _, o := range out.Objects {
		b.objects = append(b.objects, objstore.Object{
			Kind: o.Kind, Name: o.Name, Version: o.Version, Revision: o.Revision,
			Value: o.Value, Deleted: o.Deleted,
		})
	}
	for _, o := range out.Held {
		b.held = append(b.held, key{o.Kind, o.Name})
	}
}

// heardPeer notes a peer's answer that was asked for at the given time.
func (c *Catalog) heardPeer(from member.Host, asked time.Time, out *peerpb.PullReply) {
	c.mu.Lock()
	switch {
	case !out.Stale:
		c.fresh.confirm(asked, c.hostCount())
	case out.Complete > 0:
		c.fresh.confirmStale(from.ID, asked)
	}
	for l, age := range out.PlatformAgeUs {
		if age >= 0 {
			c.lastHeard.record(l, asked.Add(-time.Duration(age)*time.Microsecond))
		}
	}
	c.mu.Unlock()
	c.noteFreshness()
}
