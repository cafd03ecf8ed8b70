package load

import (
	"context"
	"fmt"
	"sync"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/catalog"
	"rhubarbwood.example/rhubarbwood/internal/query"
)

const (
	lossLoad             = 0.5 // as a fraction of the slots' capacity
	lossMinCoverage      = 0.5 // accepted by callers, so that partial answers are returned and counted
	baselineDuration     = 4 * time.Second
	tallyInterval        = 100 * time.Millisecond
	deferrableServices   = 9    // number of services that deferrable searches go to
	deferrableSeedOffset = 1000 // added to the seed, so that deferrable arrivals differ from interactive ones
)

// lossTrial is one run in which an event, such as the loss of hosts or targets,
// occurs after a baseline.
type lossTrial struct {
	name            string
	site            siteConfig
	interactiveLoad float64       // searches of the whole workload, as a fraction of the slots' capacity
	deferrableLoad  float64       // additional searches of single services, likewise
	afterEvent      time.Duration // time from the event to the end of the run
	brief           bool
	prepare         func(s *lossSite)                      // called before the warm-up; may be nil
	event           func(ctx context.Context, s *lossSite) // may take time; intervals are relative to its start
}

// lossMeasureFunc runs a trial and returns what was recorded.
type lossMeasureFunc func(ctx context.Context, o Options, t lossTrial) (*lossRun, error)

// measureLoss runs a trial: a warm-up that is not recorded, the baseline, and the
// event with the time after it.
func measureLoss(ctx context.Context, o Options, t lossTrial) (*lossRun, error) {
	s, err := newLossSite(ctx, t.site, o.Seed)
	if err != nil {
		return nil, err
	}
	defer s.closeAll()
	if t.prepare != nil {
		t.prepare(s)
	}
	if err := s.offerLoad(ctx, o.Seed+1, t, warmUpDuration, nil); err != nil {
		return nil, err
	}
	c := newLossRun(s)
	var all sync.WaitGroup
	all.Go(func() {
		if sleepUntil(ctx, c.begin.Add(baselineDuration)) == nil {
			t.event(ctx, s)
		}
	})
	all.Go(func() { c.recordTallies(ctx, baselineDuration+t.afterEvent) })
	err = s.offerLoad(ctx, o.Seed, t, baselineDuration+t.afterEvent, c)
	all.Wait()
	return c, err
}

// offerLoad sends both classes of searches over a span and records them in the
// run, unless it is nil.
func (s *lossSite) offerLoad(ctx context.Context, seed uint64, t lossTrial, span time.Duration, c *lossRun) error {
	var all sync.WaitGroup
	var failed error
	if t.deferrableLoad > 0 {
		perService := t.deferrableLoad * t.site.kind.capacity()
		starts := arrivals(deferrableServices*perService, span, seed+deferrableSeedOffset)
		all.Go(func() {
			_, _ = sendArrivals(ctx, starts, maxOutstanding, s.lossSearchFunc(seed+deferrableSeedOffset, starts, query.Deferrable, c))
		})
	}
	starts := arrivals(t.interactiveLoad*t.site.kind.capacity(), span, seed)
	_, failed = sendArrivals(ctx, starts, maxOutstanding, s.lossSearchFunc(seed, starts, query.Interactive, c))
	all.Wait()
	return failed
}

// lossSearchFunc returns a function that sends interactive searches of the whole
// workload, or deferrable searches of single services in turn. The first service
// is interactive, which makes searches of the whole workload interactive; all
// others are deferrable, so that both classes share the queues of their targets.
func (s *lossSite) lossSearchFunc(seed uint64, starts []time.Duration, u query.Urgency, c *lossRun) searchFunc {
	begin := time.Now()
	return func(ctx context.Context, index int) result {
		q := query.SearchRequest{
			RequestID:   requestID(seed, index),
			Caller:      "load",
			MinCoverage: lossMinCoverage,
			Budget:      searchBudget,
		}
		services := s.catalog.services
		if u == query.Deferrable {
			services = services[1+index%deferrableServices:][:1]
			q.Service = services[0].Name
		} else {
			q.Workload = s.workload
		}
		r, check := s.search(ctx, q, services, index)
		if c != nil {
			c.addSample(sample{start: starts[index], latency: time.Since(begin.Add(starts[index])), urgency: u, result: r, coverageCheck: check})
		}
		return r
	}
}

func (s *lossSite) search(ctx context.Context, q query.SearchRequest, services []catalog.Service, index int) (result, coverageCheck) {
	e := s.pickHost(index).entry
	began := time.Now()
	answer, refusal := e.Search(ctx, q)
	if refusal != nil {
		return result{reason: refusal.Reason}, coverageCheck{}
	}
	r := result{
		answered: true,
		coverage: answer.Coverage.Fraction(),
		attempts: answer.Attempts,
		needed:   answer.NeededAnswers,
	}
	return r, s.checkCoverage(answer, services, began)
}

// pickHost returns the host that a load balancer would choose.
func (s *lossSite) pickHost(index int) *lossHost {
	s.mu.Lock()
	defer s.mu.Unlock()
	var up []*lossHost
	for _, h := range s.lossHosts {
		if h.receivesRequests {
			up = append(up, h)
		}
	}
	return up[index%len(up)]
}

// closeAll releases the calls to frozen hosts and then closes the site.
func (s *lossSite) closeAll() {
	for _, h := range s.lossHosts {
		h.setFault(hostKilled)
	}
	s.close()
}

// lossRun is the record of one run of a trial over time.
type lossRun struct {
	begin time.Time
	site  *lossSite

	mu            sync.Mutex
	samples       []sample
	tallies       []tally // one per tallyInterval, the first at the beginning
	survivorsDone []uint64
}

// sample is one search of a run.
type sample struct {
	start, latency time.Duration
	urgency        query.Urgency
	result
	coverageCheck
}

func newLossRun(s *lossSite) *lossRun { return &lossRun{begin: time.Now(), site: s} }

func (c *lossRun) addSample(x sample) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.samples = append(c.samples, x)
}

// recordTallies records the counters of hosts and targets every tallyInterval.
func (c *lossRun) recordTallies(ctx context.Context, span time.Duration) {
	for at := time.Duration(0); at <= span; at += tallyInterval {
		if sleepUntil(ctx, c.begin.Add(at)) != nil {
			return
		}
		c.mu.Lock()
		c.tallies = append(c.tallies, c.site.tally())
		c.survivorsDone = append(c.survivorsDone, c.site.survivorsDone())
		c.mu.Unlock()
	}
}

// lossRuns are the runs of one trial with several seeds, which are reported
// together.
type lossRuns []*lossRun

func measureSeeds(ctx context.Context, o Options, run lossMeasureFunc, seeds int, t lossTrial) (lossRuns, error) {
	var all lossRuns
	for range seeds {
		c, err := run(ctx, o, t)
		if err != nil {
			return all, fmt.Errorf("%s, seed %d: %w", t.name, o.Seed, err)
		}
		all = append(all, c)
		o.Seed += 2 // Seed+1 is the seed of the warm-up
	}
	return all, nil
}
