package load

import (
	"context"
	"fmt"
	"io"
	"time"
)

// BenchSpan is the measured time of each run of Bench. With it the whole set
// takes less than five minutes.
const BenchSpan = 8 * time.Second

// Bench runs the brief form of all experiments over loopback and writes their
// tables.
func Bench(ctx context.Context, w io.Writer) error {
	return RunExperiments(ctx, w, Experiments(), Options{Span: BenchSpan, Seed: 1, Brief: true})
}

// RunExperiments runs the experiments one after another and writes the table of
// each as it ends. A missed goal is reported in the table and is not an error.
func RunExperiments(ctx context.Context, w io.Writer, all []Experiment, o Options) error {
	fmt.Fprintf(w, "capacity of the slots of guest-portal: %.0f queries/s; %s measured per run, seed %d\n",
		guestPortalSite.capacity(), o.Span, o.Seed)
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
