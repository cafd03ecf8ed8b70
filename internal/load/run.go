package load

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/query"
)

// result is how one request ended.
type result struct {
	answered bool
	failed   bool         // no word at all: connection lost, or not a valid answer
	reason   query.Reason // of a refusal
	coverage float64      // of an answer
	attempts int
	needed   int
}

// asker sends one request and returns its end; index is that of the arrival.
type asker func(ctx context.Context, index int) result

// drive sends every arrival at its time, whatever became of those before, and
// returns what was recorded when all have ended.
func drive(ctx context.Context, starts []time.Duration, outstanding int, ask asker) (*recording, error) {
	rec := newRecording()
	var inFlight atomic.Int64
	var all sync.WaitGroup
	begin := time.Now()
	for i, offset := range starts {
		if err := sleepUntil(ctx, begin.Add(offset)); err != nil {
			break
		}
		if inFlight.Load() >= int64(outstanding) {
			rec.unsent()
			continue
		}
		inFlight.Add(1)
		all.Go(func() {
			defer inFlight.Add(-1)
			r := ask(ctx, i)
			rec.add(time.Since(begin.Add(offset)), r)
		})
	}
	all.Wait()
	if err := ctx.Err(); err != nil {
		return rec, Error.New("run ended early: %w", err)
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

// Run offers the load of the configuration to the callers' API and returns
// what came of it. A run cut short returns the report so far and an error.
func Run(ctx context.Context, c Config) (Report, error) {
	if err := c.Validate(); err != nil {
		return Report{}, err
	}
	client := newClient(c)
	defer client.close()
	starts := arrivals(c.Rate, c.Duration.Std(), c.Seed)
	rec, err := drive(ctx, starts, c.Outstanding, client.ask)
	return rec.report("run", c.Rate, len(starts), c.Duration.Std()), err
}
