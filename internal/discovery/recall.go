package discovery

import (
	"cmp"
	"context"
	"slices"
	"time"
)

// A host that starts asks others what they know before it reads the store: the store may just have come back from an older
// copy, and only a host that was up before knows what that lacks. Read at once, the copy was used for up to half a second,
// until a host that knew better was met: targets that had left got requests.

const (
	// establishedAge is how long a host must have run to know what the store may have lost: more than the age of its copy, and the time
	// that it was away.
	establishedAge = 15 * time.Second
	// recallWithin bounds how long the first reading waits for hosts that do not answer.
	recallWithin = 200 * time.Millisecond
	// recallFor is for how long a host that starts looks for one that has run for so long. What is kept over a restore
	// counts for about as long.
	recallFor = 6 * time.Second
	// recallStagger is the time between two questions while none is answered.
	recallStagger = 15 * time.Millisecond
	// recallAgain is the time until a host that did not answer is asked again.
	recallAgain = 250 * time.Millisecond
	// mostContacts bounds the hosts that are asked.
	mostContacts = 8
)

// recollection is what one contact answered.
type recollection struct {
	address string
	news    News
	err     error
}

// contact is what became of the questions to one host.
type contact struct {
	owing    bool // it was asked, and has not answered
	heard    bool // it has answered, or failed once
	failedAt time.Time
}

// recall asks other hosts what they know until one that has run for long has told.
type recall struct {
	follower *Follower
	answers  chan recollection
	contacts map[string]*contact // that were asked, by address
	young    []recollection      // of hosts that have just started, too
	followed bool                // store and peers are
}

// recall runs until ctx is done. Store and peers are followed from when an established host, or every contact, has answered, or
// recallWithin has passed.
func (f *Follower) recall(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, recallFor)
	defer cancel()
	r := &recall{follower: f, answers: make(chan recollection), contacts: map[string]*contact{}}
	defer r.follow()
	for {
		addresses := f.peers.Contacts()
		r.askNext(ctx, addresses)
		if r.hasHeard(addresses) || time.Since(f.started) >= recallWithin {
			r.follow()
		}
		pause := recallStagger
		if r.followed {
			pause = lookEvery
		}
		timer := time.NewTimer(pause)
		select {
		case a := <-r.answers:
			if r.take(a) {
				return
			}
		case <-timer.C:
		case <-ctx.Done():
			r.log("")
			return
		}
		timer.Stop()
	}
}

// isEstablished reports whether a host that answered knows what the store may have lost.
func (r *recall) isEstablished(a recollection) bool {
	return a.err == nil && r.follower.complete(a.news) && a.news.MemoryAge >= establishedAge
}

// askNext asks the first host that was not asked, or failed some time ago.
func (r *recall) askNext(ctx context.Context, addresses []string) {
	for _, address := range addresses {
		c, ok := r.contacts[address]
		if !ok {
			c = &contact{}
			r.contacts[address] = c
		}
		isDue := !c.heard || !c.failedAt.IsZero() && time.Since(c.failedAt) >= recallAgain
		if c.owing || !isDue {
			continue
		}
		c.owing = true
		r.follower.done.Go(func() { r.ask(ctx, address) })
		return
	}
}

func (r *recall) ask(ctx context.Context, address string) {
	limited, cancel := context.WithTimeout(ctx, recallWithin)
	defer cancel()
	news, err := r.follower.peers.Recall(limited, address, r.follower.state.Known())
	select {
	case r.answers <- recollection{address, news, err}:
	case <-ctx.Done():
	}
}

// hasHeard reports whether all have answered or failed.
func (r *recall) hasHeard(addresses []string) bool {
	return !slices.ContainsFunc(addresses, func(address string) bool {
		c, ok := r.contacts[address]
		return !ok || !c.heard
	})
}

// take takes an answer, and reports whether it is that of an established host.
func (r *recall) take(a recollection) bool {
	c := r.contacts[a.address]
	c.owing, c.heard, c.failedAt = false, true, time.Time{}
	switch {
	case r.isEstablished(a):
		r.follower.applyNews(a.news)
		r.young = nil
		r.log(a.address)
		return true
	case a.err != nil:
		c.failedAt = time.Now()
	case r.followed:
		r.follower.applyNews(a.news)
	default:
		r.young = append(r.young, a)
	}
	return false
}

// follow lets store and peers be followed. What hosts have told that have just started as well is taken first, that of the
// oldest before the others: it may know more than the store.
func (r *recall) follow() {
	if r.followed {
		return
	}
	r.followed = true
	slices.SortFunc(r.young, func(a, b recollection) int { return cmp.Compare(b.news.MemoryAge, a.news.MemoryAge) })
	for _, a := range r.young {
		r.follower.applyNews(a.news)
	}
	r.young = nil
	close(r.follower.recalled)
}

// log tells what was heard from an established host, or that none was.
func (r *recall) log(established string) {
	r.follower.log.Event(evRecalled).Bool("established", established != "").Str("peer", established).
		Int("asked", len(r.contacts)).Dur("took", time.Since(r.follower.started)).Msg("")
}
