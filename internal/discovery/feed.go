package discovery

import (
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"rhubarbwood.example/rhubarbwood/internal/revision"
)

// feed is the state of the store calls for one kind of data: a full read, then watches from its
// revision.
type feed struct {
	follower  *Follower
	kind      string
	backoff   *backoff.ExponentialBackOff
	connected bool
	listed    bool // a full read has succeeded
	listedAt  time.Time
	// lastRevision is the cached revision at the last call. goneRevision is the one since which the
	// store cannot list the changes: only a full read, or an update from a peer, gets past it.
	lastRevision, goneRevision revision.Revision
	refusals                   int // consecutive watches that failed with ErrHistoryGone
}

// mustList reports whether a full read has to precede a watch from the cached revision. Updates
// from peers have revisions of the store, too, so a watch may start from any revision, however old:
// when a host that replaced a watching one read everything instead, 280 targets took six calls.
func (f *feed) mustList(cached revision.Revision) bool {
	f.lastRevision = cached
	historyGone := !f.goneRevision.IsZero() && f.goneRevision == cached
	return historyGone || !f.listed && cached.Number == 0
}

// noteListed records a successful full read.
func (f *feed) noteListed() {
	f.listed, f.goneRevision, f.listedAt = true, revision.Revision{}, time.Now()
}

// noteAnswer records that the store answered.
func (f *feed) noteAnswer() {
	if !f.connected {
		f.connected = true
		f.follower.signalStoreAnswered()
		f.follower.log.Event(evStoreReached).Str("what", f.kind).Msg("")
	}
}

// noteWatched records a successful watch.
func (f *feed) noteWatched() {
	f.noteAnswer()
	f.backoff.Reset()
	f.refusals = 0
}

// noteFailure records a failed call.
func (f *feed) noteFailure(err error) {
	if errors.Is(err, ErrHistoryGone) {
		f.goneRevision = f.lastRevision
		f.refusals++
		if f.refusals == 1 {
			f.backoff.Reset() // the delay still grew in the outage that is over
		}
		line := f.follower.log.Event(evHistoryGone)
		if errors.Is(err, ErrHistoryTooLong) {
			f.follower.metrics.tooLong.WithLabelValues(f.kind).Inc()
			line = f.follower.log.Event(evHistoryTooLong).Str("error", err.Error())
		}
		line.Str("what", f.kind).Uint64("era", f.lastRevision.Era).Uint64("revision", f.lastRevision.Number).Msg("")
		return
	}
	if f.connected {
		f.connected = false
		f.follower.log.Event(evStoreLost).Str("what", f.kind).Err(err).Msg("")
	}
}
