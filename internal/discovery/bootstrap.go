package discovery

import (
	"cmp"
	"context"
	"slices"
	"time"
)

// A starting host queries other hosts before it reads the store. The store may just have been
// restored from an older copy, and only a host that ran before has what the copy lacks. When the
// store was read at once, the copy was used for up to half a second, until a host with newer state
// was met, and targets that had left got requests.

const (
	// establishedAge is how long a host must have been running to have the state that a restore may
	// have lost: longer than the age of the store's copy and the time that the store was down.
	establishedAge = 15 * time.Second
	// bootstrapWait limits how long the first read of the store waits for hosts that do not answer.
	bootstrapWait = 200 * time.Millisecond
	// bootstrapPeriod is how long a starting host looks for an established one. State kept over a
	// restore is used for about as long.
	bootstrapPeriod = 6 * time.Second
	// contactStagger is the delay between two queries while none is answered.
	contactStagger = 15 * time.Millisecond
	// contactRetryDelay is the time after which a host whose query failed is queried again.
	contactRetryDelay = 250 * time.Millisecond
	// maxContacts limits the hosts that are queried.
	maxContacts = 8
)

// contactReply is the result of a query.
type contactReply struct {
	address string
	update  Update
	err     error
}

// contactStatus is the status of the queries to one host.
type contactStatus struct {
	pending  bool // a query is under way
	done     bool // a query has been answered or has failed
	failedAt time.Time
}

// bootstrap queries other hosts for their state until an established one has answered.
type bootstrap struct {
	follower         *Follower
	replies          chan contactReply
	contacts         map[string]*contactStatus // queried hosts, by address
	recentReplies    []contactReply            // of recently started hosts, not applied yet
	followingStarted bool                      // store and peers are followed
}

// bootstrap queries other hosts until an established one has answered, at most for bootstrapPeriod.
// Store and peers are followed once an established host, or every contact, has answered, or
// bootstrapWait has passed.
func (f *Follower) bootstrap(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, bootstrapPeriod)
	defer cancel()
	b := &bootstrap{follower: f, replies: make(chan contactReply), contacts: map[string]*contactStatus{}}
	defer b.startFollowing()
	for {
		addresses := f.peers.BootstrapContacts()
		b.queryNext(ctx, addresses)
		if b.allAnswered(addresses) || time.Since(f.startedAt) >= bootstrapWait {
			b.startFollowing()
		}
		pause := contactStagger
		if b.followingStarted {
			pause = checkInterval
		}
		timer := time.NewTimer(pause)
		select {
		case reply := <-b.replies:
			if b.handleReply(reply) {
				return
			}
		case <-timer.C:
		case <-ctx.Done():
			b.logResult("")
			return
		}
		timer.Stop()
	}
}

// isEstablished reports whether a reply comes from a host that has the state that a restore may
// have lost.
func (b *bootstrap) isEstablished(reply contactReply) bool {
	return reply.err == nil && b.follower.isComplete(reply.update) && reply.update.SenderUptime >= establishedAge
}

// queryNext queries the first host that was not queried yet, or whose retry is due.
func (b *bootstrap) queryNext(ctx context.Context, addresses []string) {
	for _, address := range addresses {
		c, ok := b.contacts[address]
		if !ok {
			c = &contactStatus{}
			b.contacts[address] = c
		}
		due := !c.done || !c.failedAt.IsZero() && time.Since(c.failedAt) >= contactRetryDelay
		if c.pending || !due {
			continue
		}
		c.pending = true
		b.follower.tasks.Go(func() { b.query(ctx, address) })
		return
	}
}

func (b *bootstrap) query(ctx context.Context, address string) {
	limited, cancel := context.WithTimeout(ctx, bootstrapWait)
	defer cancel()
	update, err := b.follower.peers.FetchState(limited, address, b.follower.state.Cursor())
	select {
	case b.replies <- contactReply{address, update, err}:
	case <-ctx.Done():
	}
}

// allAnswered reports whether the queries to all addresses have been answered or have failed.
func (b *bootstrap) allAnswered(addresses []string) bool {
	return !slices.ContainsFunc(addresses, func(address string) bool {
		c, ok := b.contacts[address]
		return !ok || !c.done
	})
}

// handleReply handles a reply and reports whether it comes from an established host.
func (b *bootstrap) handleReply(reply contactReply) bool {
	c := b.contacts[reply.address]
	c.pending, c.done, c.failedAt = false, true, time.Time{}
	switch {
	case b.isEstablished(reply):
		b.follower.applyUpdate(reply.update)
		b.recentReplies = nil
		b.logResult(reply.address)
		return true
	case reply.err != nil:
		c.failedAt = time.Now()
	case b.followingStarted:
		b.follower.applyUpdate(reply.update)
	default:
		b.recentReplies = append(b.recentReplies, reply)
	}
	return false
}

// startFollowing lets the follower follow store and peers. The replies of recently started hosts
// are applied first, that of the longest running one before the others: they may contain more than
// the store.
func (b *bootstrap) startFollowing() {
	if b.followingStarted {
		return
	}
	b.followingStarted = true
	slices.SortFunc(b.recentReplies, func(a, b contactReply) int { return cmp.Compare(b.update.SenderUptime, a.update.SenderUptime) })
	for _, reply := range b.recentReplies {
		b.follower.applyUpdate(reply.update)
	}
	b.recentReplies = nil
	close(b.follower.bootstrapped)
}

// logResult logs the address of the established host that answered, empty if none did.
func (b *bootstrap) logResult(established string) {
	b.follower.log.Event(evBootstrapped).Bool("established", established != "").Str("peer", established).
		Int("asked", len(b.contacts)).Dur("took", time.Since(b.follower.startedAt)).Msg("")
}
