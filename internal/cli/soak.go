package cli

import (
	"fmt"
	"os"
	"sync"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/soak"
)

type soakCommand struct {
	env       Env
	Seed      uint64        `long:"seed" default:"1" description:"First seed"`
	Seeds     int           `long:"seeds" default:"1" description:"How many seeds, one after the other from the first"`
	Storm     time.Duration `long:"storm" default:"6s" description:"Length of the faults of each seed"`
	Callers   int           `long:"callers" default:"12" description:"Callers of each seed"`
	Helpers   bool          `long:"helpers" description:"One host gathers the queries of the others, whose links are narrow"`
	Restores  bool          `long:"restores" description:"The store comes back from older copies of itself"`
	Placement bool          `long:"placement" description:"Failure domains are evacuated, targets are cold after a crash, a route has a home"`
	Hosts     int           `long:"hosts" default:"3" description:"Hosts of each seed, a process each"`
	First     bool          `long:"first-faults" description:"Only the faults that seeds of earlier reports were drawn from"`
	Parallel  int           `long:"parallel" default:"2" description:"Seeds that run at once"`
}

// mostProcesses bounds the processes of all seeds that run at once: a few hundred.
const mostProcesses = 300

// Execute runs the seeds and prints a line for each, with the steps of those that
// found a promise broken.
func (c *soakCommand) Execute([]string) error {
	if c.Seeds < 1 || c.Callers < 1 || c.Parallel < 1 || c.Storm < 0 {
		return fail(ExitUsage, "seeds, callers and parallel: want at least 1; storm: want 0 or more")
	}
	if c.Hosts < 3 || c.Hosts*c.Parallel > mostProcesses {
		return fail(ExitUsage, "hosts: want at least 3, and %d at most of all seeds that run at once", mostProcesses)
	}
	binary, err := os.Executable()
	if err != nil {
		return fail(ExitFailed, "find the program: %s", err)
	}
	var mu sync.Mutex // guards the output and broken
	broken := 0
	next := make(chan uint64)
	var work sync.WaitGroup
	for range c.Parallel {
		work.Go(func() {
			for seed := range next {
				r, err := soak.Run(soak.Config{
					Binary: binary, Seed: seed, Storm: c.Storm, Callers: c.Callers, Helpers: c.Helpers, Hosts: c.Hosts, AllFaults: !c.First, Placement: c.Placement, Restores: c.Restores,
				})
				mu.Lock()
				if err != nil || len(r.Violations) > 0 {
					broken++
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
	if broken > 0 {
		return fail(ExitFailed, "%d of %d seeds found a promise broken, or did not run", broken, c.Seeds)
	}
	return nil
}

func (c *soakCommand) print(r soak.Report, err error) {
	if err != nil {
		fmt.Fprintf(c.env.Out, "seed %d: not run: %s\n", r.Seed, err)
		return
	}
	fmt.Fprintf(c.env.Out, "seed %d: %d requests, %d answered, %d promises broken\n", r.Seed, r.Requests, r.Answered, len(r.Violations))
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
