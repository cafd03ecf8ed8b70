package objstore

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"rhubarbwood.example/rhubarbwood/internal/clock"
	"rhubarbwood.example/rhubarbwood/internal/event"
	"rhubarbwood.example/rhubarbwood/internal/revision"
)

// Verbs, as the metrics name them.
const (
	verbGet    = "get"
	verbList   = "list"
	verbPut    = "put"
	verbDelete = "delete"
	verbWatch  = "watch"
	verbHosts  = "hosts"
)

// Governed keeps the calls of one host within its rate and its timeout, counts
// them, and logs when the platform begins or ceases to answer. It never repeats
// a call, since only the caller knows whether that is safe.
type Governed struct {
	cfg        Config
	records    Records
	bucket     *rate.Limiter
	unreadable *rate.Limiter // lines about records that can't be read
	up         atomic.Bool
	eraMu      sync.Mutex
	eraTold    bool   // an answer has come, so that a rise of the era is a restore
	era        uint64 // newest that was logged
	// answered is set by the first answer. started is this host's clock when
	// the records were opened; see Now.
	answered atomic.Bool
	started  time.Time
	clock    *clock.Clock
	began    time.Time // when they were opened, by clock
	log      *event.Log
	metrics  *metrics
}

var _ Records = (*Governed)(nil)

// Bounds of the lines about records that can't be read, a second and at once: one that stays is
// met again with each list.
const (
	unreadableLines = 1
	unreadableBurst = 20
)

// Govern returns records under the limits of valid settings.
func Govern(cfg Config, records Records, log *event.Log, reg prometheus.Registerer) *Governed {
	return &Governed{
		cfg: cfg, records: records, started: time.Now(), began: time.Now(), log: log, metrics: newMetrics(reg),
		bucket: rate.NewLimiter(rate.Limit(cfg.CallsPerSecond), cfg.Burst), unreadable: rate.NewLimiter(unreadableLines, unreadableBurst),
	}
}

// GoBy makes Now count the time in which the machine is suspended. It is to be called before the
// records are used.
func (g *Governed) GoBy(c *clock.Clock) { g.clock, g.began = c, c.Now() }

// Get implements Records.
func (g *Governed) Get(ctx context.Context, kind, name string) (r Record, err error) {
	err = g.call(ctx, verbGet, 0, func(ctx context.Context) (err error) {
		r, err = g.records.Get(ctx, kind, name)
		return err
	})
	return r, err
}

// List implements Records.
func (g *Governed) List(ctx context.Context, kind, after string) (p RecordPage, err error) {
	err = g.call(ctx, verbList, 0, func(ctx context.Context) (err error) {
		p, err = g.records.List(ctx, kind, after)
		return err
	})
	g.noteUnreadable(kind, p)
	return p, err
}

// noteUnreadable counts and logs the records of a page that can't be read.
func (g *Governed) noteUnreadable(kind string, p RecordPage) {
	for _, r := range p.Records {
		if r.Problem == nil {
			continue
		}
		g.metrics.unreadable.WithLabelValues(kind).Inc()
		if g.unreadable.Allow() {
			g.log.Event(evUnreadable).Str("kind", kind).Str("record", r.Name).Err(r.Problem).Msg("")
		}
	}
}

// Watch implements Records. The timeout comes on top of the wait.
func (g *Governed) Watch(ctx context.Context, kind string, after revision.Revision, wait time.Duration) (p RecordPage, err error) {
	err = g.call(ctx, verbWatch, wait, func(ctx context.Context) (err error) {
		p, err = g.records.Watch(ctx, kind, after, wait)
		return err
	})
	g.noteUnreadable(kind, p)
	return p, err
}

// Create implements Records.
func (g *Governed) Create(ctx context.Context, kind, name string, spec json.RawMessage) (r Record, err error) {
	err = g.call(ctx, verbPut, 0, func(ctx context.Context) (err error) {
		r, err = g.records.Create(ctx, kind, name, spec)
		return err
	})
	return r, err
}

// Replace implements Records.
func (g *Governed) Replace(ctx context.Context, kind, name string, revision uint64, spec json.RawMessage) (r Record, err error) {
	err = g.call(ctx, verbPut, 0, func(ctx context.Context) (err error) {
		r, err = g.records.Replace(ctx, kind, name, revision, spec)
		return err
	})
	return r, err
}

// Delete implements Records.
func (g *Governed) Delete(ctx context.Context, kind, name string, revision uint64) error {
	return g.call(ctx, verbDelete, 0, func(ctx context.Context) error {
		return g.records.Delete(ctx, kind, name, revision)
	})
}

// Hosts implements Records.
func (g *Governed) Hosts(ctx context.Context) (hosts []LiveHost, err error) {
	err = g.call(ctx, verbHosts, 0, func(ctx context.Context) (err error) {
		hosts, err = g.records.Hosts(ctx)
		return err
	})
	return hosts, err
}

// Now implements Records. Where the platform's answers tell no time, it is this
// host's clock as it stood when the records were opened, carried on by one that no step
// of the time of day moves.
func (g *Governed) Now() (time.Time, bool) {
	if now, ok := g.records.Now(); ok {
		return now, true
	}
	if !g.answered.Load() {
		return time.Time{}, false
	}
	return g.started.Add(g.clock.Since(g.began)), true
}

// Era implements Records.
func (g *Governed) Era() uint64 { return g.records.Era() }

// Close implements Records.
func (g *Governed) Close() { g.records.Close() }

// call makes one call within the token bucket and the timeout; wait is added
// to the timeout.
func (g *Governed) call(ctx context.Context, verb string, wait time.Duration, do func(context.Context) error) error {
	start := time.Now()
	limited, cancel := context.WithTimeout(ctx, g.cfg.Timeout.Std()+wait)
	defer cancel()
	err := g.takeToken(limited, verb)
	if err == nil {
		err = do(limited)
		g.logReachability(ctx, verb, err)
		g.logEra(verb)
	}
	g.metrics.observe(verb, time.Since(start), err)
	return err
}

// takeToken waits for a token of the bucket; it fails at once when none would
// come in time.
func (g *Governed) takeToken(ctx context.Context, verb string) error {
	if err := g.bucket.Wait(ctx); err != nil {
		return &Unavailable{Cause: Error.New("%s: wait for a token of %g calls a second: %w", verb, g.cfg.CallsPerSecond, err)}
	}
	return nil
}

// logReachability logs when the platform begins or ceases to answer. A call
// that the caller gave up tells nothing about that.
func (g *Governed) logReachability(ctx context.Context, verb string, err error) {
	switch resultOf(err) {
	case resultUnavailable, resultUnanswered:
		if ctx.Err() == nil && g.up.CompareAndSwap(true, false) {
			g.log.Event(evUnreachable).Str("verb", verb).Str("error", err.Error()).Msg("")
		}
	default:
		g.answered.Store(true)
		if g.up.CompareAndSwap(false, true) {
			g.log.Event(evReachable).Str("verb", verb).Msg("")
		}
	}
}

// logEra logs the era of the platform as of the first answer, and when it has risen. The first may be
// 0, or be told by none.
func (g *Governed) logEra(verb string) {
	if !g.answered.Load() {
		return
	}
	g.eraMu.Lock()
	defer g.eraMu.Unlock()
	era, before := g.records.Era(), g.era
	if g.eraTold && era == before {
		return
	}
	g.metrics.era.Set(float64(era))
	if g.eraTold {
		g.log.Event(evRestored).Uint64("before", before).Uint64("era", era).Str("verb", verb).Msg("")
	} else {
		g.log.Event(evEraKnown).Uint64("era", era).Msg("")
	}
	g.era, g.eraTold = era, true
}
