package rollout

import (
	"math"
	"slices"
	"time"
)

const (
	// maxTurn is the longest time between the begins of two turns. A pulse that coincides with a
	// short fault says little, so the canary of the shortest orders (some 5 s) has five or more.
	maxTurn = time.Second
	// minTurn is the shortest time between the begins of two turns: several times the difference
	// between the ages of an order on two hosts.
	minTurn = 250 * time.Millisecond
	// roundTime is the time in which all targets have a turn, if minTurn allows.
	roundTime = 4 * time.Second
)

// Turn returns which targets of the new version are on trial at an age of the order, and the
// probability with which a first attempt goes to one of them now. While a target is on trial it
// receives 1/n of all requests, n being the number of new targets, as after the move. This load
// comes in pulses, so that the mean over time is share; between pulses the probability is 0. All
// targets take turns, in the order of their ids: hosts with the same arguments agree.
func Turn(age time.Duration, share float64, newTargets []string) (onTrial []string, probability float64) {
	n := len(newTargets)
	if n == 0 || !(share > 0) || age < 0 {
		return nil, 0
	}
	share = min(share, 1)
	targets := newTargets
	if !slices.IsSorted(targets) { // sorted arguments cost nothing: this is called for each request
		targets = slices.Sorted(slices.Values(newTargets))
	}
	// The fewest targets whose later load, if it never paused, is the share.
	atATime := min(n, max(1, int(math.Ceil(share*float64(n)-1e-9))))
	full := float64(atATime) / float64(n)
	turns := (n + atATime - 1) / atATime
	length := min(max(roundTime/time.Duration(turns), minTurn), maxTurn)
	turn := int(age / length)
	onTrial = make([]string, atATime)
	for i := range onTrial {
		onTrial[i] = targets[(turn*atATime+i)%n]
	}
	// The pulse is in the middle of its turn, so that the mean is the share at any end.
	pulse := time.Duration(float64(length) * share / full)
	begin := (length - pulse) / 2
	if at := age % length; at < begin || at >= begin+pulse {
		return onTrial, 0
	}
	return onTrial, full
}
