package policy

import "math/rand/v2"

// remotePenalty multiplies the cost of options in other failure domains, for a
// hop of about a millisecond and a link that may be cut.
const remotePenalty = 1.25

// Option is a candidate replica, relay or helper for one attempt.
type Option struct {
	Cost       float64 // expected time, or requests in flight; lower is better
	Local      bool    // in the host's own failure domain
	LastResort bool    // ejected, leaving or suspect: chosen only if no other option exists
}

// Choose returns the index of the option to use, -1 if there is none: the
// cheaper of two random options, where remotePenalty favours the own failure
// domain. Power of two choices keeps hosts from all selecting the option that
// looks best at the moment.
func Choose(rng *rand.Rand, options []Option) int {
	open := candidates(options)
	switch len(open) {
	case 0:
		return -1
	case 1:
		return open[0]
	}
	i := rng.IntN(len(open))
	j := rng.IntN(len(open) - 1)
	if j >= i {
		j++
	}
	a, b := open[i], open[j]
	if options[b].weightedCost() < options[a].weightedCost() {
		return b
	}
	return a
}

// candidates returns the indexes of the options that are not barred, or of all
// if every one is.
func candidates(options []Option) []int {
	var open, barred []int
	for i, o := range options {
		if o.LastResort {
			barred = append(barred, i)
			continue
		}
		open = append(open, i)
	}
	if len(open) == 0 {
		return barred
	}
	return open
}

// weightedCost returns the cost including remotePenalty.
func (o Option) weightedCost() float64 {
	if o.Local {
		return o.Cost
	}
	return o.Cost * remotePenalty
}
