package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"rhubarbwood.example/rhubarbwood/internal/query"
)

const (
	minHistogramMicros         = 1           // values are recorded in microseconds
	maxHistogramMicros         = 300_000_000 // five minutes
	histogramSignificantDigits = 3
)

// recorder aggregates the results of the requests of one run. It is safe for
// concurrent use.
type recorder struct {
	mu               sync.Mutex
	answerLatencies  *hdrhistogram.Histogram
	refusalLatencies *hdrhistogram.Histogram
	waitLatencies    *hdrhistogram.Histogram // of answers and of refusals because the budget ended
	answered         int
	complete         int
	failed           int
	unsent           int
	refused          map[query.Reason]int
	coverageSum      float64 // over the answers
	attempts         int
	needed           int
}

func newRecorder() *recorder {
	return &recorder{
		answerLatencies:  hdrhistogram.New(minHistogramMicros, maxHistogramMicros, histogramSignificantDigits),
		refusalLatencies: hdrhistogram.New(minHistogramMicros, maxHistogramMicros, histogramSignificantDigits),
		waitLatencies:    hdrhistogram.New(minHistogramMicros, maxHistogramMicros, histogramSignificantDigits),
		refused:          make(map[query.Reason]int),
	}
}

func (r *recorder) addUnsent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unsent++
}

func (r *recorder) add(latency time.Duration, x result) {
	us := min(max(latency.Microseconds(), minHistogramMicros), maxHistogramMicros)
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case x.failed:
		r.failed++
	case !x.answered:
		r.refused[x.reason]++
		_ = r.refusalLatencies.RecordValue(us) // in range
		if x.reason == query.ReasonBudget {
			_ = r.waitLatencies.RecordValue(us)
		}
	default:
		r.addAnswer(us, x)
	}
}

func (r *recorder) addAnswer(us int64, x result) {
	r.answered++
	if x.coverage >= 1 {
		r.complete++
	}
	r.coverageSum += x.coverage
	r.attempts += x.attempts
	r.needed += x.needed
	_ = r.answerLatencies.RecordValue(us) // in range
	_ = r.waitLatencies.RecordValue(us)
}

func (r *recorder) report(name string, rate float64, offered int, span time.Duration) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := Report{
		Name:       name,
		Rate:       rate,
		Offered:    offered,
		Answered:   r.answered,
		Complete:   r.complete,
		Failed:     r.failed,
		Unsent:     r.unsent,
		Refused:    make(map[string]int, len(r.refused)),
		Goodput:    float64(r.complete) / span.Seconds(),
		Coverage:   ratio(r.coverageSum, float64(r.answered)),
		P50:        milliseconds(r.answerLatencies, 50),
		P99:        milliseconds(r.answerLatencies, 99),
		P999:       milliseconds(r.answerLatencies, 99.9),
		RefusalP99: milliseconds(r.refusalLatencies, 99),
		WaitP99:    milliseconds(r.waitLatencies, 99),
		ExtraLoad:  ratio(float64(r.attempts), float64(r.needed)) - 1,
	}
	if r.needed == 0 {
		out.ExtraLoad = 0
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
