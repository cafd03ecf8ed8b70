package policy

import "math/rand/v2"

// remotePenalty is how much more a choice in another failure domain must cost
// less to be taken: a hop of a millisecond and a link that may be cut.
const remotePenalty = 1.25

// Option is one replica or relay that may be asked.
type Option struct {
	Cost   float64 // expected time, or work in flight; lower is better
	Local  bool    // in the own failure domain
	Barred bool    // ejected, leaving or suspect: only when nothing else is left
}

// Choose returns the index of the option to ask, -1 if there is none: of two
// taken at random the cheaper one, the own failure domain first unless it is
// the more loaded. Two choices keep the hosts from all running to the one
// that looks best at the moment.
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
	if options[b].weight() < options[a].weight() {
		return b
	}
	return a
}

func candidates(options []Option) []int {
	var open, barred []int
	for i, o := range options {
		if o.Barred {
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

func (o Option) weight() float64 {
	if o.Local {
		return o.Cost
	}
	return o.Cost * remotePenalty
}
