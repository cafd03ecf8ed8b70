package load

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/query"
)

// result is the outcome of one request.
type result struct {
	answered bool
	failed   bool         // connection lost or invalid response
	reason   query.Reason // of a refusal
	coverage float64      // of an answer
	attempts int
	needed   int
}

// searchFunc sends one request and returns its result; index is that of the
// arrival.
type searchFunc func(ctx context.Context, index int) result

// sendArrivals sends every request at its scheduled time, independent of earlier
// requests, and returns the recorder when all have ended. Arrivals above the
// maximum in flight are only counted.
func sendArrivals(ctx context.Context, starts []time.Duration, outstanding int, search searchFunc) (*recorder, error) {
	rec := newRecorder()
	var inFlight atomic.Int64
	var requests sync.WaitGroup
	begin := time.Now()
	for i, offset := range starts {
		if err := sleepUntil(ctx, begin.Add(offset)); err != nil {
			break
		}
		if inFlight.Load() >= int64(outstanding) {
			rec.addUnsent()
			continue
		}
		inFlight.Add(1)
		requests.Go(func() {
			defer inFlight.Add(-1)
			r := search(ctx, i)
			rec.add(time.Since(begin.Add(offset)), r)
		})
	}
	requests.Wait()
	if err := ctx.Err(); err != nil {
		return rec, Error.New("run was interrupted: %w", err)
	}
	return rec, nil
}

func sleepUntil(ctx context.Context, at time.Time) error {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run generates the configured load on the callers' API and returns the report.
// If the context ends early, it returns the report so far and an error.
func Run(ctx context.Context, c Config) (Report, error) {
	if err := c.Validate(); err != nil {
		return Report{}, err
	}
	client := newClient(c)
	defer client.close()
	starts := arrivals(c.Rate, c.Duration.Std(), c.Seed)
	rec, err := sendArrivals(ctx, starts, c.Outstanding, client.search)
	return rec.report("run", c.Rate, len(starts), c.Duration.Std()), err
}
