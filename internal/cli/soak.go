package cli

import (
	"fmt"
	"os"
	"sync"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/soak"
)

type soakCommand struct {
	env         Env
	Seed        uint64        `long:"seed" default:"1" description:"First seed"`
	Seeds       int           `long:"seeds" default:"1" description:"Number of consecutive seeds, beginning with --seed"`
	Storm       time.Duration `long:"storm" default:"6s" description:"How long faults are injected in each seed"`
	Callers     int           `long:"callers" default:"12" description:"Number of concurrent callers in each seed"`
	Helpers     bool          `long:"helpers" description:"One host sends the shard requests for the others, whose links have low bandwidth"`
	Restores    bool          `long:"restores" description:"The store is restored from older copies of itself"`
	Placement   bool          `long:"placement" description:"Failure domains are evacuated, targets have cold caches after a crash, a route has a home domain"`
	Hosts       int           `long:"hosts" default:"3" description:"Number of hosts in each seed, each a process"`
	FirstFaults bool          `long:"first-faults" description:"Inject only the first set of fault kinds, so that the seeds of earlier reports give the same runs"`
	Parallel    int           `long:"parallel" default:"2" description:"Number of seeds run at the same time"`
}

// maxProcesses limits the host processes of all seeds that run at the same time.
const maxProcesses = 300

// Execute runs the seeds and prints a line for each, followed by the violations
// and the steps if an invariant was violated.
func (c *soakCommand) Execute([]string) error {
	if c.Seeds < 1 || c.Callers < 1 || c.Parallel < 1 || c.Storm < 0 {
		return exitErrorf(ExitUsage, "--seeds, --callers and --parallel must be at least 1, --storm must not be negative")
	}
	if c.Hosts < 3 || c.Hosts*c.Parallel > maxProcesses {
		return exitErrorf(ExitUsage, "--hosts must be at least 3, and --hosts times --parallel at most %d", maxProcesses)
	}
	binary, err := os.Executable()
	if err != nil {
		return exitErrorf(ExitFailed, "locate the executable: %s", err)
	}
	var mu sync.Mutex // guards the output and failedSeeds
	failedSeeds := 0
	next := make(chan uint64)
	var work sync.WaitGroup
	for range c.Parallel {
		work.Go(func() {
			for seed := range next {
				r, err := soak.Run(soak.Config{
					Binary: binary, Seed: seed, Storm: c.Storm, Callers: c.Callers, Helpers: c.Helpers, Hosts: c.Hosts, AllFaults: !c.FirstFaults, Placement: c.Placement, Restores: c.Restores,
				})
				mu.Lock()
				if err != nil || len(r.Violations) > 0 {
					failedSeeds++
				}
				c.print(r, err)
				mu.Unlock()
			}
		})
	}
	for i := range c.Seeds {
		next <- c.Seed + uint64(i)
	}
	close(next)
	work.Wait()
	if failedSeeds > 0 {
		return exitErrorf(ExitFailed, "%d of %d seeds violated an invariant or could not be run", failedSeeds, c.Seeds)
	}
	return nil
}

func (c *soakCommand) print(r soak.Report, err error) {
	if err != nil {
		fmt.Fprintf(c.env.Out, "seed %d: could not be run: %s\n", r.Seed, err)
		return
	}
	fmt.Fprintf(c.env.Out, "seed %d: %d requests, %d answered, %d invariant violations\n", r.Seed, r.Requests, r.Answered, len(r.Violations))
	if len(r.Violations) == 0 {
		return
	}
	for _, v := range r.Violations {
		fmt.Fprintf(c.env.Out, "  %s\n", v)
	}
	for _, s := range r.Steps {
		fmt.Fprintf(c.env.Out, "  step %s\n", s)
	}
	fmt.Fprintf(c.env.Out, "  logs in %s\n", r.Logs)
}
