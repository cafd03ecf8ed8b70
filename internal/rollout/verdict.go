package rollout

import (
	"fmt"
	"math"
	"slices"
)

// Outcome is what the evidence says about a new version.
type Outcome uint8

// Outcomes.
const (
	NotEnough Outcome = iota // nothing speaks against the version, but it has too few answers
	GoodSoFar
	Bad
)

// Verdict is what the evidence says about a new version, and why.
type Verdict struct {
	Outcome Outcome
	// MoveOnTrial is set if the evidence is not enough, but would have found a version that is much
	// worse. At low rates the exposure of the canary doesn't allow more: the requests may be moved, but
	// the order succeeds only with enough evidence.
	MoveOnTrial bool
	// Suspicious is set if the evidence against the version is enough to roll it back when its trial
	// ends, but not while it lasts. A test that is made once errs less often than one that is
	// repeated.
	Suspicious bool
	Reason     string // for operators: the route, counts and rates
	// RoutesOnTrial is set if every route with answers of the new version has enough of them, and
	// at least one has.
	RoutesOnTrial bool
}

// alphas are the thresholds of the likelihood ratios against a good version: with all targets, and
// without the worst. By Ville's inequality a ratio that is tested all the time ever exceeds 1/alpha
// with a probability of at most alpha. The measured probabilities are far lower, as the old rate is
// taken at its upper bound and as few of the alternatives fit. The ratio without the worst targets
// only matters if that of all targets condemns the version: in a fault of single targets, or by
// chance.
type alphas struct{ all, reduced float64 }

// always are the thresholds that hold all the time.
var always = alphas{0.01, 0.03}

// atEnd are the thresholds at the end of the trial, where they are tested only once. The strictest
// that would have found a version with three more bad responses in ten applies; at low rates only
// the last ones do. Above 1, the evidence without the worst targets may be slightly in favor.
var atEnd = []alphas{{0.03, 0.02}, {0.03, 0.05}, {0.03, 0.1}, {0.03, 0.3}, {0.05, 0.6}, {0.1, 2}}

const (
	// worstPart is the part of the new targets that is left out, rounded up, as a fault of single
	// targets says nothing about the version.
	worstPart = 1.0 / 3
	// cellCap bounds the logarithm of the ratio of one target in one window: at least three are
	// needed to condemn a version. Results of one target at one time are not independent.
	cellCap = 2.6
	// comparedAnswers is how many old answers a window needs to be compared with. In a window with
	// fewer, all new targets together count as one, as a fault of both sides can't be recognized.
	comparedAnswers = 3
	// shrinkage is how many answers at the overall rate are added to those of the old version in a
	// window.
	shrinkage = 4.0
	// firstBegin is the weight of the alternative that a version is bad from the start; the others
	// share the rest among the windows in which it may have turned bad.
	firstBegin = 0.6
	// maxBegins bounds the windows in which a version may have turned bad, and with them the cost.
	maxBegins = 12
)

// badRates are the rates of bad responses that the test compares with that of the old version.
var badRates = []float64{0.09, 0.2, 0.4, 0.75}

// kind is what counts as a bad response in a test. Failures alone are rarer than late responses, so
// a few of them say more.
type kind struct {
	count  func(cell) float64
	floor  float64 // least rate that the old version is taken to have
	weight float64 // prior of the alternatives
}

var kinds = []kind{
	{func(c cell) float64 { return c.bad }, 0.02, 0.65},
	{func(c cell) float64 { return c.failed }, 0.006, 0.35},
}

// verdict tests all routes.
func (e *evidence) verdict() Verdict {
	var samples []*sample
	for _, route := range e.routes() {
		samples = append(samples, e.sampleOf(route))
	}
	if len(samples) == 0 {
		return Verdict{Reason: "no answers yet"}
	}
	return judge(samples)
}

// judge tests the samples of all routes. The routes share the error.
func judge(samples []*sample) Verdict {
	v := Verdict{Outcome: GoodSoFar, MoveOnTrial: true, RoutesOnTrial: true}
	share := math.Log(float64(len(samples)))
	anyNew, total := false, 0.0
	for _, s := range samples {
		total += s.oldAll.answers + s.newAll.answers
		if s.newAll.answers == 0 {
			continue
		}
		anyNew = true
		own := s.grouped()
		all, reduced := own.against()
		if all >= share-math.Log(always.all) && reduced >= share-math.Log(always.reduced) {
			return Verdict{Outcome: Bad, Reason: s.describe("worse than the old version")}
		}
		final := own.finalAlphas()
		if !v.Suspicious && all >= share-math.Log(final.all) && reduced >= share-math.Log(final.reduced) {
			v.Suspicious, v.Reason = true, s.describe("probably worse than the old version")
		}
	}
	together := pool(samples).grouped()
	pooled, pooledMuch := together.enough(detectableRate), together.enough(muchWorseRate)
	for _, s := range samples {
		part := (s.oldAll.answers + s.newAll.answers) / max(total, 1)
		few := s.newAll.answers < minRouteAnswers && part >= minorRoute
		own := s.grouped()
		if own.enough(detectableRate) || pooled && !few {
			continue
		}
		v.Outcome = NotEnough
		v.MoveOnTrial = v.MoveOnTrial && (own.enough(muchWorseRate) || pooledMuch && !few)
		if s.newAll.answers > 0 {
			v.RoutesOnTrial = false
		}
		if v.Reason == "" {
			v.Reason = s.describe("not enough evidence")
		}
	}
	v.RoutesOnTrial = v.RoutesOnTrial && anyNew
	if v.Reason == "" {
		v.Reason = samples[0].describe("no worse than the old version")
	}
	return v
}

// describe returns a reason text for operators.
func (s *sample) describe(finding string) string {
	return fmt.Sprintf("route %q: %s; bad responses: new version %.0f of %.0f (%.1f %%, failed %.0f), old version %.0f of %.0f (%.1f %%, failed %.0f)",
		s.route, finding,
		s.newAll.bad, s.newAll.answers, 100*s.newAll.rate(), s.newAll.failed,
		s.oldAll.bad, s.oldAll.answers, 100*s.oldAll.rate(), s.oldAll.failed)
}

// oldRate returns an upper bound of the old version's rate of bad responses. The prior is that of a
// service with few of them; the bound holds in nine of ten cases.
func (s *sample) oldRate(k kind) float64 {
	const (
		priorBad     = 0.5
		priorAnswers = 25.0
		deviations   = 1.3
	)
	n := s.oldQuiet.answers + priorAnswers
	mean := (k.count(s.oldQuiet) + priorBad) / n
	bound := max(mean+deviations*math.Sqrt(mean*(1-mean)/n), k.floor)
	if !s.judged {
		bound = max(bound, absoluteRate)
	}
	return min(bound, maxOldRate)
}

// maxOldRate keeps ratios finite where all old responses are bad.
const maxOldRate = 0.98

// against returns the logarithms of the mixtures of likelihood ratios against a good version, with
// all targets and without the worst.
func (s *sample) against() (all, reduced float64) {
	var logsAll, logsReduced []float64
	for _, k := range kinds {
		rates := s.windowRates(k)
		for _, q := range badRates {
			weight := math.Log(k.weight / float64(len(badRates)))
			a, r := s.ratios(k, q, rates, weight)
			logsAll, logsReduced = append(logsAll, a...), append(logsReduced, r...)
		}
	}
	return logSum(logsAll), logSum(logsReduced)
}

// windowRates returns, by window, the rate of bad responses of a good version: that of the old
// version in the same time, if it is above its overall rate. A fault of both sides condemns neither.
func (s *sample) windowRates(k kind) []float64 {
	overall := s.oldRate(k)
	rates := make([]float64, len(s.old))
	for w := range s.old {
		rate := overall
		for _, c := range []cell{s.old[w], s.oldAround(w)} {
			rate = max(rate, (k.count(c)+shrinkage*overall)/(c.answers+shrinkage))
		}
		rates[w] = min(rate, maxOldRate)
	}
	return rates
}

// ratios returns the weighted logarithms of the likelihood ratios of one rate q, for each window in
// which the version may have turned bad.
func (s *sample) ratios(k kind, q float64, rates []float64, weight float64) (all, reduced []float64) {
	windows := len(s.old)
	step := max(1, (windows+maxBegins-1)/maxBegins)
	begins := (windows - 1) / step // besides the start
	sums, sorted := make([]float64, len(s.targets)), make([]float64, len(s.targets))
	row := make([]float64, len(s.targets))
	leftOut := s.leftOut()
	for w := windows - 1; w >= 0; w-- {
		s.rowRatios(k, q, rates[w], w, row)
		for i, r := range row {
			sums[i] += r
		}
		if w%step != 0 {
			continue
		}
		prior := weight + math.Log(firstBegin)
		if w > 0 {
			prior = weight + math.Log((1-firstBegin)/float64(begins))
		}
		copy(sorted, sums)
		slices.Sort(sorted)
		var kept, sum float64
		for i, r := range sorted {
			sum += r
			if i < len(sorted)-leftOut { // the smallest ratios
				kept += r
			}
		}
		if leftOut == len(sorted) {
			kept = math.Inf(-1) // nothing is left that could speak against the version
		}
		all, reduced = append(all, prior+sum), append(reduced, prior+kept)
	}
	return all, reduced
}

// leftOut returns how many of the targets (or groups) with answers are left out. Targets whose turn
// has not come count, too: the faulty ones may have been first.
func (s *sample) leftOut() int {
	all := max(s.known, s.seen)
	if all <= 1 {
		return 0
	}
	targets := math.Ceil(worstPart*float64(all) - 1e-9)
	n := len(s.targets)
	return min(n, int(math.Ceil(targets*float64(n)/float64(s.seen)-1e-9)))
}

// rowRatios sets row to the capped logarithms of the ratios of the targets in one window.
func (s *sample) rowRatios(k kind, q, rate float64, w int, row []float64) {
	clear(row)
	if q <= rate {
		return // the alternative is no worse than the old version in this window
	}
	limit := cellCap * s.weights[w]
	hit, miss := math.Log(q/rate), math.Log((1-q)/(1-rate))
	var positive float64
	for i, c := range s.new[w] {
		bad := k.count(c)
		row[i] = min(bad*hit+(c.answers-bad)*miss, limit)
		positive += max(row[i], 0)
	}
	if s.old[w].answers >= comparedAnswers || positive <= limit {
		return
	}
	for i := range row {
		if row[i] > 0 {
			row[i] *= limit / positive
		}
	}
}

// logSum returns the logarithm of the sum of the exponentials.
func logSum(logs []float64) float64 {
	if len(logs) == 0 {
		return math.Inf(-1)
	}
	top := slices.Max(logs)
	if math.IsInf(top, -1) {
		return top
	}
	var sum float64
	for _, l := range logs {
		sum += math.Exp(l - top)
	}
	return top + math.Log(sum)
}
