package discovery

import (
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"rhubarbwood.example/rhubarbwood/internal/revision"
)

// link is what is known of one line of calls to the store.
type link struct {
	follower *Follower
	what     string
	pause    *backoff.ExponentialBackOff
	up       bool
	listed   bool // everything was read, so that a watch may follow
	readAt   time.Time
	// held is the revision that this host held at the last call, and gone the one since which the store does not have the
	// changes: nothing but a reading, or what a peer knows, goes on from there.
	held, gone revision.Revision
	refused    int // watches in a row that the store refused, as it does not have the changes
}

// mustList reports whether everything has to be read before a watch from a revision that
// this host holds, 0 if none. What a peer told is the store's, too, so a watch may go on from
// there, however old: a host that took the place of a watcher read 280 targets anew, in six
// calls.
func (l *link) mustList(held revision.Revision) bool {
	l.held = held
	isGone := !l.gone.IsZero() && l.gone == held
	return isGone || !l.listed && held.Number == 0
}

// read notes that everything was read.
func (l *link) read() { l.listed, l.gone, l.readAt = true, revision.Revision{}, time.Now() }

// reached notes an answer.
func (l *link) reached() {
	if !l.up {
		l.up = true
		l.follower.storeIsBack()
		l.follower.log.Event(evStoreReached).Str("what", l.what).Msg("")
	}
}

// watched notes the answer to a watch.
func (l *link) watched() {
	l.reached()
	l.pause.Reset()
	l.refused = 0
}

// failed notes a call that brought nothing.
func (l *link) failed(err error) {
	if errors.Is(err, ErrHistoryGone) {
		l.gone = l.held
		l.refused++
		if l.refused == 1 {
			l.pause.Reset() // it has grown in an outage that is over
		}
		l.follower.log.Event(evHistoryGone).Str("what", l.what).Uint64("era", l.held.Era).Uint64("revision", l.held.Number).Msg("")
		return
	}
	if l.up {
		l.up = false
		l.follower.log.Event(evStoreLost).Str("what", l.what).Err(err).Msg("")
	}
}
