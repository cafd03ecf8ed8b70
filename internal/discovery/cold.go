package discovery

import "time"

// Times of a host that knows nothing and can't serve. After all hosts lost power
// the one that should know may still be away.
const (
	// coldWait is how long a peer holds its request: another one may know.
	coldWait = 20 * time.Millisecond
	// coldTimeout bounds one question to a peer. With 60 in place of 150 ms, and 20
	// in place of 50 above, 755 in place of 721 requests were answered in time in the
	// two seconds in which all hosts lost power and came back, on six days together.
	coldTimeout = 60 * time.Millisecond
	// coldGrace is how long it relies on peers alone if they don't answer, and
	// coldSpread the time for each host over which they turn to the store.
	coldGrace  = 200 * time.Millisecond
	coldSpread = 5 * time.Millisecond
)

// coldTurn reports whether this host, which knows nothing, has to ask the store now.
// Hosts that start together take turns: the first ones tell the rest. Without
// turns each of 75 hosts read everything from the store.
func (f *Follower) coldTurn() bool {
	since := time.Since(f.started)
	hosts := f.peers.Hosts()
	if hosts == 1 {
		return since >= time.Duration(f.draw*float64(f.cfg.StartSpread))
	}
	if f.peers.Watches() {
		return true
	}
	turn := time.Duration(f.draw * float64(hosts) * float64(coldSpread))
	return since > coldGrace+turn || (f.peerFailed.Load() && since > turn)
}

// lookCold is lookEvery for a host that knows nothing and can't serve.
const lookCold = 5 * time.Millisecond

// lookAgain returns the time until the next look.
func (f *Follower) lookAgain() time.Duration {
	if f.state.Freshness().IsZero() {
		return lookCold
	}
	return lookEvery
}
