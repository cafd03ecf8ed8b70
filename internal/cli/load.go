package cli

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/load"
	"rhubarbwood.example/rhubarbwood/internal/unit"
)

type loadCommand struct {
	env         Env
	Entry       []string      `long:"entry" env:"RHUBARBWOOD_ENTRY" env-delim:"," default:"127.0.0.1:8080" description:"Callers' API of a host; may be repeated, requests go to the hosts in turn"`
	Workload    string        `long:"workload" description:"Workload to search"`
	Service     string        `long:"service" description:"Service to search, instead of a workload"`
	Text        string        `long:"text" description:"Text to search for"`
	Limit       int           `long:"limit" default:"10" description:"Maximum number of rows"`
	MinCoverage float64       `long:"min-coverage" default:"1" description:"Minimum fraction of shards that an answer must cover"`
	Budget      time.Duration `long:"budget" default:"1s" description:"Budget of each search"`
	Caller      string        `long:"caller" default:"load" description:"Caller's name"`
	Rate        float64       `long:"rate" default:"50" description:"Searches per second"`
	Duration    time.Duration `long:"duration" default:"10s" description:"Length of the run"`
	Seed        uint64        `long:"seed" default:"1" description:"Seed of the arrival times"`
	Output      string        `long:"output" choice:"text" choice:"json" default:"text" description:"Output format"`
	Bench       bool          `long:"bench" description:"Run the short set of experiments over stand-ins instead; takes up to five minutes"`
	Experiment  []string      `long:"experiment" description:"Run this experiment over stand-ins instead"`
	Span        time.Duration `long:"span" default:"4s" description:"Measured part of each run of an experiment"`
	List        bool          `long:"list" description:"List the experiments"`
}

// Execute generates load on hosts, or runs experiments over stand-ins, until
// the run ends or a signal is received.
func (c *loadCommand) Execute([]string) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-stopSignal(c.env.Signals)
		cancel()
	}()
	switch {
	case c.List:
		for _, e := range load.Experiments() {
			fmt.Fprintln(c.env.Out, e.Name)
		}
		return nil
	case c.Bench:
		return loadError(load.Bench(ctx, c.env.Out))
	case len(c.Experiment) > 0:
		return c.experiments(ctx)
	}
	return c.run(ctx)
}

func (c *loadCommand) experiments(ctx context.Context) error {
	var chosen []load.Experiment
	for _, name := range c.Experiment {
		at := slices.IndexFunc(load.Experiments(), func(e load.Experiment) bool { return e.Name == name })
		if at < 0 {
			return exitErrorf(ExitUsage, "unknown experiment %q; the experiments are %s", name, experimentNames())
		}
		chosen = append(chosen, load.Experiments()[at])
	}
	return loadError(load.RunExperiments(ctx, c.env.Out, chosen, load.Options{Span: c.Span, Seed: c.Seed}))
}

func experimentNames() string {
	var names []string
	for _, e := range load.Experiments() {
		names = append(names, e.Name)
	}
	return strings.Join(names, ", ")
}

func (c *loadCommand) run(ctx context.Context) error {
	cfg := load.DefaultConfig()
	cfg.Addresses = c.Entry
	cfg.Workload, cfg.Service, cfg.Text = c.Workload, c.Service, c.Text
	cfg.Limit, cfg.MinCoverage, cfg.Caller = c.Limit, c.MinCoverage, c.Caller
	cfg.Budget, cfg.Duration = unit.Duration(c.Budget), unit.Duration(c.Duration)
	cfg.Rate, cfg.Seed = c.Rate, c.Seed
	if err := cfg.Validate(); err != nil {
		return usageError(err)
	}
	report, err := load.Run(ctx, cfg)
	if err != nil {
		return loadError(err)
	}
	if c.Output == outputJSON {
		return loadError(load.WriteJSON(c.env.Out, []load.Report{report}))
	}
	return loadError(load.WriteTable(c.env.Out, []load.Report{report}))
}

func loadError(err error) error {
	if err == nil {
		return nil
	}
	return exitErrorf(ExitFailed, "%s", err)
}
