package discovery

import "time"

// Times for a host without cached state, which cannot serve yet. After a power loss of all hosts,
// the peer that would have the state may still be down.
const (
	// coldPollWait is how long a peer holds a poll of a host without cached state before it replies
	// empty. It is short because another peer may have the state.
	coldPollWait = 20 * time.Millisecond
	// coldPollTimeout limits one such poll. With 60 ms here in place of 150 ms, and 20 ms in place
	// of 50 ms for coldPollWait, 755 in place of 721 requests were answered in time during the two
	// seconds around a restart of all hosts, over six days together.
	coldPollTimeout = 60 * time.Millisecond
	// coldPeerGrace is how long the host relies on peers that do not answer at all before it reads
	// the store.
	coldPeerGrace = 200 * time.Millisecond
	// coldReadStagger is the delay between the first store reads of two hosts of a group. It is
	// about the time that the first host needs to read everything, so that it can pass the state on
	// to the next.
	coldReadStagger = 30 * time.Millisecond
)

// coldReadDue reports whether this host, which has no cached state, has to read the store now.
// Hosts that start together read one after the other, and the first ones pass the state on to the
// rest: a start in which each of 295 hosts read everything took 1,880 store calls.
func (f *Follower) coldReadDue() bool {
	uptime := time.Since(f.startedAt)
	if f.peers.Hosts() == 1 {
		return uptime >= f.cfg.Settle.Std()+time.Duration(f.startJitter*float64(f.cfg.StartSpread))
	}
	rank := f.peers.Rank()
	delay := f.cfg.Settle.Std() + time.Duration(rank)*coldReadStagger
	return uptime > delay && (rank == 0 || f.lastPollFailed.Load() || uptime > coldPeerGrace+delay)
}

// coldPollTimes is pollTimes for a host without cached state. During the settle time no host reads
// the store, so polls can wait for its whole rest.
func (f *Follower) coldPollTimes() (wait, timeout time.Duration) {
	if settle := f.cfg.Settle.Std() - time.Since(f.startedAt); settle > coldPollWait {
		return settle, settle + coldPollTimeout
	}
	return coldPollWait, coldPollTimeout
}

// coldCheckInterval is checkInterval for a host without cached state.
const coldCheckInterval = 5 * time.Millisecond

// nextCheckDelay returns the time until the next check of whether the store has to be read.
func (f *Follower) nextCheckDelay() time.Duration {
	if f.state.Freshness().IsZero() {
		return coldCheckInterval
	}
	return checkInterval
}
