package rollout

import "math"

const (
	// detectableRate is the rate of bad responses, beyond those of the old version, that the evidence
	// must be able to find.
	detectableRate = 0.3
	// muchWorseRate is the same for the evidence that allows to move the requests on trial.
	muchWorseRate = 0.45
	// detectionQuantile is the probability with which it may miss it.
	detectionQuantile = 0.05
	// leftOutBias is by how many standard deviations of one target's rate the mean rate falls, on
	// average, when the third with the highest rates is left out: 0.42 of 3 targets, 0.48 of 6, 0.56 of
	// 40 (means of order statistics of the normal distribution).
	leftOutBias = 0.5
	// minGroupAnswers is how many answers each target needs on average. With fewer, neighboring targets
	// count as one: a version with three bad responses in ten looks like one with a third of its
	// targets broken if each target has a single answer.
	minGroupAnswers = 6
	// minGroups is the least number of groups that targets are merged into.
	minGroups = 3
	// minCells is how many cells (see cellCap) must hold answers: as many as can condemn a version.
	minCells = 3
	// minRouteAnswers is how many answers a route needs if all routes together have enough: at low
	// rates the exposure doesn't allow enough for each route.
	minRouteAnswers = 8
	// minorRoute is the part of the requests below which a route needs no answers of its own.
	minorRoute = 0.05
	// maxQuantileAnswers bounds the cost of quantile; more answers don't change the result.
	maxQuantileAnswers = 300
)

// enough reports whether the test at the end would have found, in 19 of 20 cases, a version whose
// responses are bad at a rate, beyond those of the old one.
func (s *sample) enough(rate float64) bool {
	return s.finds(rate, atEnd[len(atEnd)-1])
}

// finalAlphas returns the thresholds at the end of the trial.
func (s *sample) finalAlphas() alphas {
	for _, a := range atEnd {
		if s.finds(detectableRate, a) {
			return a
		}
	}
	return atEnd[len(atEnd)-1]
}

// finds is enough with thresholds.
func (s *sample) finds(rate float64, a alphas) bool {
	if s.newQuiet.answers == 0 {
		return false
	}
	cells := 0.0
	for w, row := range s.new {
		for _, c := range row {
			if c.answers > 0 && s.quiet[w] {
				cells += s.weights[w]
			}
		}
	}
	if cells < minCells {
		return false
	}
	old := s.oldRate(kinds[0])
	bad := old + rate*(1-old)
	if !detects(s.newQuiet.answers, bad, old, a.all) {
		return false
	}
	n := len(s.targets)
	leftOut := s.leftOut()
	if leftOut == 0 {
		return true
	}
	if leftOut == n {
		return false
	}
	perTarget := s.newQuiet.answers / float64(n)
	kept := perTarget * float64(n-leftOut)
	bad -= leftOutBias * math.Sqrt(bad*(1-bad)/perTarget)
	return detects(kept, max(bad, 0), old, a.reduced)
}

// grouped returns the sample with neighboring targets merged, so that each has enough answers.
func (s *sample) grouped() *sample {
	n := len(s.targets)
	groups := max(minGroups, int(s.newAll.answers/minGroupAnswers))
	if groups >= n {
		return s
	}
	g := *s
	g.targets, g.perNew, g.new = make([]string, groups), make([]cell, groups), make([][]cell, len(s.new))
	for i, target := range s.targets {
		at := i * groups / n
		g.targets[at] = target
		g.perNew[at].add(s.perNew[i])
	}
	for w, row := range s.new {
		g.new[w] = make([]cell, groups)
		for i, c := range row {
			g.new[w][i*groups/n].add(c)
		}
	}
	return &g
}

// detects reports whether a version with a rate of bad responses would be found with n answers.
func detects(n, bad, rate, alpha float64) bool {
	answers := min(math.Floor(n), maxQuantileAnswers)
	found := quantile(int(answers), bad, detectionQuantile)
	weight := math.Log(firstBegin * kinds[0].weight / float64(len(badRates)))
	var logs []float64
	for _, q := range badRates {
		if q > rate {
			logs = append(logs, weight+found*math.Log(q/rate)+(answers-found)*math.Log((1-q)/(1-rate)))
		}
	}
	return logSum(logs) >= -math.Log(alpha)
}

// quantile returns a quantile of the binomial distribution: the least k whose cumulative probability
// exceeds p.
func quantile(n int, rate, p float64) float64 {
	term := math.Pow(1-rate, float64(n))
	sum := term
	for k := range n {
		if sum > p {
			return float64(k)
		}
		term *= float64(n-k) / float64(k+1) * rate / (1 - rate)
		sum += term
	}
	return float64(n)
}

// pool returns the samples of all routes as one.
func pool(samples []*sample) *sample {
	all := &sample{judged: true, known: samples[0].known}
	at := map[string]int{}
	for _, s := range samples {
		for _, target := range s.targets {
			if _, known := at[target]; !known {
				at[target] = len(all.targets)
				all.targets = append(all.targets, target)
			}
		}
		all.judged = all.judged && s.judged
	}
	windows := len(samples[0].old)
	all.weights = samples[0].weights
	all.old, all.new = make([]cell, windows), make([][]cell, windows)
	all.perNew = make([]cell, len(all.targets))
	for w := range windows {
		all.new[w] = make([]cell, len(all.targets))
	}
	for _, s := range samples {
		all.oldAll.add(s.oldAll)
		all.newAll.add(s.newAll)
		for w := range windows {
			all.old[w].add(s.old[w])
			for i, target := range s.targets {
				all.new[w][at[target]].add(s.new[w][i])
			}
		}
		for i, target := range s.targets {
			all.perNew[at[target]].add(s.perNew[i])
		}
	}
	all.seen = len(all.targets)
	all.findQuiet()
	return all
}
