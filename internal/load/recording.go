package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"rhubarbwood.example/rhubarbwood/internal/query"
)

const (
	histogramLowest  = 1           // microseconds
	histogramHighest = 300_000_000 // five minutes
	histogramDigits  = 3
)

// recording sums the ends of the requests of one run. It is safe for
// concurrent use.
type recording struct {
	mu       sync.Mutex
	answers  *hdrhistogram.Histogram
	refusals *hdrhistogram.Histogram
	waits    *hdrhistogram.Histogram // answers, and refusals at the end of the budget
	answered int
	complete int
	failed   int
	notSent  int
	refused  map[query.Reason]int
	coverage float64 // sum over answers
	attempts int
	needed   int
}

func newRecording() *recording {
	return &recording{
		answers:  hdrhistogram.New(histogramLowest, histogramHighest, histogramDigits),
		refusals: hdrhistogram.New(histogramLowest, histogramHighest, histogramDigits),
		waits:    hdrhistogram.New(histogramLowest, histogramHighest, histogramDigits),
		refused:  make(map[query.Reason]int),
	}
}

func (r *recording) unsent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notSent++
}

func (r *recording) add(latency time.Duration, x result) {
	us := min(max(latency.Microseconds(), histogramLowest), histogramHighest)
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case x.failed:
		r.failed++
	case !x.answered:
		r.refused[x.reason]++
		_ = r.refusals.RecordValue(us) // in range
		if x.reason == query.ReasonBudget {
			_ = r.waits.RecordValue(us)
		}
	default:
		r.addAnswer(us, x)
	}
}

func (r *recording) addAnswer(us int64, x result) {
	r.answered++
	if x.coverage >= 1 {
		r.complete++
	}
	r.coverage += x.coverage
	r.attempts += x.attempts
	r.needed += x.needed
	_ = r.answers.RecordValue(us) // in range
	_ = r.waits.RecordValue(us)
}

func (r *recording) report(name string, rate float64, offered int, span time.Duration) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := Report{
		Name:       name,
		Rate:       rate,
		Offered:    offered,
		Answered:   r.answered,
		Complete:   r.complete,
		Failed:     r.failed,
		Unsent:     r.notSent,
		Refused:    make(map[string]int, len(r.refused)),
		Goodput:    float64(r.complete) / span.Seconds(),
		Coverage:   ratio(r.coverage, float64(r.answered)),
		P50:        milliseconds(r.answers, 50),
		P99:        milliseconds(r.answers, 99),
		P999:       milliseconds(r.answers, 99.9),
		RefusalP99: milliseconds(r.refusals, 99),
		WaitP99:    milliseconds(r.waits, 99),
		Extra:      ratio(float64(r.attempts), float64(r.needed)) - 1,
	}
	if r.needed == 0 {
		out.Extra = 0
	}
	for reason, n := range r.refused {
		out.Refused[string(reason)] = n
	}
	return out
}

func milliseconds(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / 1000
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
