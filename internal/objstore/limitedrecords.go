package objstore

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"rhubarbwood.example/rhubarbwood/internal/clock"
	"rhubarbwood.example/rhubarbwood/internal/event"
	"rhubarbwood.example/rhubarbwood/internal/revision"
)

// Verbs, as in the label "verb" of the metrics.
const (
	verbGet    = "get"
	verbList   = "list"
	verbPut    = "put"
	verbDelete = "delete"
	verbWatch  = "watch"
	verbHosts  = "hosts"
)

// LimitedRecords implements Records with the rate limit and the timeout of one host.
// It counts the calls, and logs when the platform becomes reachable or unreachable.
// It never retries a call, since only the caller knows whether that is safe.
type LimitedRecords struct {
	cfg               Config
	records           Records
	limiter           *rate.Limiter
	unreadableLimiter *rate.Limiter // log lines about records that can't be decoded
	limitLogs         *rate.Limiter // log lines about responses that exceed a limit
	reachable         atomic.Bool
	eraMu             sync.Mutex
	eraKnown          bool   // a response has been received, so a change of the era means a restore
	era               uint64 // last logged era
	// answered is set by the first response. openedWallTime is the time of day
	// when the records were opened; see Now.
	answered       atomic.Bool
	openedWallTime time.Time
	clock          *clock.Clock
	openedAt       time.Time // reading of clock when the records were opened
	log            *event.Log
	metrics        *metrics
}

var _ Records = (*LimitedRecords)(nil)

// Rate and burst of the log lines about records that can't be decoded. Such a record is
// encountered again in each list until it is removed.
const (
	unreadableLogsPerSecond = 1
	unreadableLogBurst      = 20
)

// Rate and burst of the log lines about responses that exceed a limit. A call that is made again may exceed it again.
const (
	limitLogsPerSecond = 1
	limitLogBurst      = 20
)

// NewLimitedRecords wraps records with the limits of cfg, which must be valid.
func NewLimitedRecords(cfg Config, records Records, log *event.Log, reg prometheus.Registerer) *LimitedRecords {
	return &LimitedRecords{
		cfg: cfg, records: records, openedWallTime: time.Now(), openedAt: time.Now(), log: log, metrics: newMetrics(reg),
		limiter: rate.NewLimiter(rate.Limit(cfg.CallsPerSecond), cfg.Burst), unreadableLimiter: rate.NewLimiter(unreadableLogsPerSecond, unreadableLogBurst),
		limitLogs: rate.NewLimiter(limitLogsPerSecond, limitLogBurst),
	}
}

// SetClock sets the clock by which Now advances, so that time during which the machine is suspended
// counts. It must be called before the records are used.
func (g *LimitedRecords) SetClock(c *clock.Clock) { g.clock, g.openedAt = c, c.Now() }

// Get implements Records.
func (g *LimitedRecords) Get(ctx context.Context, kind, name string) (r Record, err error) {
	err = g.call(ctx, verbGet, kind, 0, func(ctx context.Context) (err error) {
		r, err = g.records.Get(ctx, kind, name)
		return err
	})
	return r, err
}

// List implements Records.
func (g *LimitedRecords) List(ctx context.Context, kind, after string) (p RecordPage, err error) {
	err = g.call(ctx, verbList, kind, 0, func(ctx context.Context) (err error) {
		p, err = g.records.List(ctx, kind, after)
		return err
	})
	g.reportUnreadable(kind, p)
	return p, err
}

// reportUnreadable counts and logs the records of a page that can't be decoded.
func (g *LimitedRecords) reportUnreadable(kind string, p RecordPage) {
	for _, r := range p.Records {
		if r.Problem == nil {
			continue
		}
		g.metrics.unreadable.WithLabelValues(kind).Inc()
		if g.unreadableLimiter.Allow() {
			g.log.Event(evUnreadable).Str("kind", kind).Str("record", r.Name).Err(r.Problem).Msg("")
		}
	}
}

// Watch implements Records. The timeout is added to the wait.
func (g *LimitedRecords) Watch(ctx context.Context, kind string, after revision.Revision, wait time.Duration) (p RecordPage, err error) {
	err = g.call(ctx, verbWatch, kind, wait, func(ctx context.Context) (err error) {
		p, err = g.records.Watch(ctx, kind, after, wait)
		return err
	})
	g.reportUnreadable(kind, p)
	return p, err
}

// Create implements Records.
func (g *LimitedRecords) Create(ctx context.Context, kind, name string, spec json.RawMessage) (r Record, err error) {
	err = g.call(ctx, verbPut, kind, 0, func(ctx context.Context) (err error) {
		r, err = g.records.Create(ctx, kind, name, spec)
		return err
	})
	return r, err
}

// Replace implements Records.
func (g *LimitedRecords) Replace(ctx context.Context, kind, name string, revision uint64, spec json.RawMessage) (r Record, err error) {
	err = g.call(ctx, verbPut, kind, 0, func(ctx context.Context) (err error) {
		r, err = g.records.Replace(ctx, kind, name, revision, spec)
		return err
	})
	return r, err
}

// ReplaceStatus implements Records. It counts as a put.
func (g *LimitedRecords) ReplaceStatus(ctx context.Context, kind, name string, revision uint64, status json.RawMessage) (r Record, err error) {
	err = g.call(ctx, verbPut, kind, 0, func(ctx context.Context) (err error) {
		r, err = g.records.ReplaceStatus(ctx, kind, name, revision, status)
		return err
	})
	return r, err
}

// Delete implements Records.
func (g *LimitedRecords) Delete(ctx context.Context, kind, name string, revision uint64) error {
	return g.call(ctx, verbDelete, kind, 0, func(ctx context.Context) error {
		return g.records.Delete(ctx, kind, name, revision)
	})
}

// Hosts implements Records.
func (g *LimitedRecords) Hosts(ctx context.Context) (hosts []ListedHost, err error) {
	err = g.call(ctx, verbHosts, "", 0, func(ctx context.Context) (err error) {
		hosts, err = g.records.Hosts(ctx)
		return err
	})
	return hosts, err
}

// Now implements Records. If the platform's responses carry no time, it returns this
// host's time of day when the records were opened plus the time elapsed since, by a clock that
// steps of the time of day do not affect.
func (g *LimitedRecords) Now() (time.Time, bool) {
	if now, ok := g.records.Now(); ok {
		return now, true
	}
	if !g.answered.Load() {
		return time.Time{}, false
	}
	return g.openedWallTime.Add(g.clock.Since(g.openedAt)), true
}

// Era implements Records.
func (g *LimitedRecords) Era() uint64 { return g.records.Era() }

// Close implements Records.
func (g *LimitedRecords) Close() { g.records.Close() }

// call makes one call, subject to the rate limit and the timeout; wait is
// added to the timeout.
func (g *LimitedRecords) call(ctx context.Context, verb, kind string, wait time.Duration, do func(context.Context) error) error {
	start := time.Now()
	limited, cancel := context.WithTimeout(ctx, g.cfg.Timeout.Std()+wait)
	defer cancel()
	err := g.takeToken(limited, verb)
	if err == nil {
		err = do(limited)
		g.reportLimit(verb, kind, err)
		g.logReachability(ctx, verb, err)
		g.logEra(verb)
	}
	g.metrics.observe(verb, time.Since(start), err)
	return err
}

// takeToken waits for a token of the bucket. It fails at once if none will be
// available before the deadline of ctx.
func (g *LimitedRecords) takeToken(ctx context.Context, verb string) error {
	if err := g.limiter.Wait(ctx); err != nil {
		return &Unavailable{Cause: Error.New("%s: wait for a token of %g calls a second: %w", verb, g.cfg.CallsPerSecond, err)}
	}
	return nil
}

// reportLimit counts and logs a response that exceeded a limit.
func (g *LimitedRecords) reportLimit(verb, kind string, err error) {
	var exceeded *LimitError
	if !errors.As(err, &exceeded) {
		return
	}
	g.metrics.limited.WithLabelValues(verb, exceeded.Limit).Inc()
	if g.limitLogs.Allow() {
		g.log.Event(evResponseLimit).Str("verb", verb).Str("kind", kind).Str("limit", exceeded.Limit).
			Int64("received", exceeded.Received).Int64("max", exceeded.Max).Msg("")
	}
}

// logReachability logs when the platform becomes reachable or unreachable. A
// failed call that the caller had cancelled is ignored.
func (g *LimitedRecords) logReachability(ctx context.Context, verb string, err error) {
	var exceeded *LimitError
	switch result := resultOf(err); {
	case errors.As(err, &exceeded): // the platform did respond
		g.answered.Store(true)
	case result == resultUnavailable, result == resultUnanswered:
		if ctx.Err() == nil && g.reachable.CompareAndSwap(true, false) {
			g.log.Event(evUnreachable).Str("verb", verb).Str("error", err.Error()).Msg("")
		}
	default:
		g.answered.Store(true)
		if g.reachable.CompareAndSwap(false, true) {
			g.log.Event(evReachable).Str("verb", verb).Msg("")
		}
	}
}

// logEra logs the era of the platform after the first response, and each change of it. The first
// era may be 0, also because the platform reports none.
func (g *LimitedRecords) logEra(verb string) {
	if !g.answered.Load() {
		return
	}
	g.eraMu.Lock()
	defer g.eraMu.Unlock()
	era, before := g.records.Era(), g.era
	if g.eraKnown && era == before {
		return
	}
	g.metrics.era.Set(float64(era))
	if g.eraKnown {
		g.log.Event(evRestored).Uint64("before", before).Uint64("era", era).Str("verb", verb).Msg("")
	} else {
		g.log.Event(evEra).Uint64("era", era).Msg("")
	}
	g.era, g.eraKnown = era, true
}
