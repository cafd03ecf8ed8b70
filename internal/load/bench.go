package load

import (
	"context"
	"fmt"
	"io"
	"time"
)

// BenchSpan is the measured part of each run of Bench; the whole set ends in
// less than five minutes.
const BenchSpan = 8 * time.Second

// Bench runs all experiments in brief, over loopback, and writes their tables.
func Bench(ctx context.Context, w io.Writer) error {
	return RunExperiments(ctx, w, Experiments(), Options{Span: BenchSpan, Seed: 1, Brief: true})
}

// RunExperiments runs the experiments one after another and writes each table
// when it is done. A goal that was missed is written and is no error.
func RunExperiments(ctx context.Context, w io.Writer, all []Experiment, o Options) error {
	fmt.Fprintf(w, "capacity of guest-portal's slots: %.0f queries/s; %s measured a run, seed %d\n",
		kolkata.capacity(), o.Span, o.Seed)
	for _, e := range all {
		f, err := e.Run(ctx, o)
		if err != nil {
			return Error.New("experiment %s: %w", e.Name, err)
		}
		if err := e.Write(w, f); err != nil {
			return err
		}
	}
	return nil
}
