// Package soak runs gateway hosts as separate processes on loopback, injects faults through
// signals, proxies, a store stand-in and target stand-ins, and checks what callers and targets
// observed against the guarantees of the system. The seed determines the steps of a run, but not
// the timing of the processes. It does not measure performance. Begin with Run.
package soak

import (
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("soak")

// Config configures a soak run.
type Config struct {
	Binary  string        // gateway program to run
	Seed    uint64        // of all random choices
	Storm   time.Duration // duration of the fault phase, before the calm phase
	Callers int
	// Hosts is the number of hosts; 0: three.
	Hosts int
	// AllFaults adds further faults: targets that crash, also because of a request, and restart
	// under the same ID; values of other writers in the store; suspended hosts; series of signals
	// and configuration changes; callers that keep their connections until the host closes them.
	// Without it, the steps of a seed are the same as before these faults existed.
	AllFaults bool
	// Helpers gives all hosts but the last a narrow link, so that the last host gathers their
	// queries.
	Helpers bool
	// Placement adds restrictions on where requests may go: evacuated failure domains, targets
	// that are cold after a crash, and a route with a home region. Targets report their load and
	// pause periodically.
	Placement bool
	// Restores adds restores of the store from older backups.
	Restores bool
}

func (c Config) hosts() int {
	if c.Hosts == 0 {
		return 3
	}
	return c.Hosts
}

// maxConfigVersions returns the maximum number of configuration versions of a run.
func (c Config) maxConfigVersions() int {
	if c.AllFaults {
		return 36
	}
	return 12
}

// Link rates of hosts. On a narrow link, transferring the answers to a query takes longer than the
// latency objective.
const (
	narrowLinkMbps = 1
	wideLinkMbps   = 100
)

// linkMbps returns the link rate in a host's settings, 0 if none is set.
func (c Config) linkMbps(host int) float64 {
	switch {
	case !c.Helpers:
		return 0
	case host == c.hosts()-1:
		return wideLinkMbps
	}
	return narrowLinkMbps
}

// Report is the result of one run.
type Report struct {
	Seed       uint64
	Requests   int
	Answered   int // complete and successful
	Steps      []string
	Violations []Violation
	Logs       string // directory of the hosts' logs, kept after a violation
}

// Run runs one seed: a storm of faults, a settling time, and planned work in a calm phase, while
// callers send requests throughout. All processes that it started have ended when it returns.
func Run(cfg Config) (Report, error) {
	r := Report{Seed: cfg.Seed}
	rng := rand.New(rand.NewPCG(cfg.Seed, 0))
	s, err := newSite(cfg)
	if err != nil {
		if s != nil {
			s.stop(false)
		}
		return r, err
	}
	time.Sleep(warmUpDuration)
	cs := startCallers(s, cfg, rng)
	r.runSteps(s, cfg.storm(rng))
	if cfg.AllFaults {
		last := cfg.unobservedLeave()
		if cfg.Restores {
			last = append(last, cfg.finalRestore())
			time.Sleep(survivorRunTime)
		}
		r.runSteps(s, last)
	}
	time.Sleep(settleDuration)
	calmStart := time.Now()
	r.runSteps(s, cfg.calm(rng))
	time.Sleep(time.Until(calmStart.Add(calmDuration)))
	exchanges := cs.stopAndCollect()
	calmEnd := time.Now()
	time.Sleep(routeTimeout) // also observes requests that run late after a refusal
	r.Violations = collect(s, exchanges, calmStart, calmEnd).check()
	r.countRequests(exchanges)
	if len(r.Violations) > 0 {
		r.Logs = s.dir
	}
	s.stop(len(r.Violations) > 0)
	return r, nil
}

func (r *Report) countRequests(exchanges []exchange) {
	r.Requests = len(exchanges)
	for _, x := range exchanges {
		if x.status >= 200 && x.status < 300 {
			r.Answered++
		}
	}
}

// runSteps executes the steps at their times and undoes them. It returns when all are undone.
func (r *Report) runSteps(s *site, steps []step) {
	began := time.Now()
	var work sync.WaitGroup
	sort.SliceStable(steps, func(i, j int) bool { return steps[i].at < steps[j].at })
	locks := map[string]*sync.Mutex{}
	for _, st := range steps {
		r.Steps = append(r.Steps, st.at.String()+" "+st.name)
		lock, ok := locks[st.subject()]
		if !ok {
			lock = &sync.Mutex{}
			locks[st.subject()] = lock
		}
		work.Go(func() {
			time.Sleep(time.Until(began.Add(st.at)))
			lock.Lock() // steps on the same host run one after another
			defer lock.Unlock()
			st.do(s)
			if st.undo != nil {
				time.Sleep(st.duration)
				st.undo(s)
			}
		})
	}
	work.Wait()
}

// subject returns the host that a step acts on, or the step's name.
func (st step) subject() string {
	if len(st.name) > len("host 0") && st.name[:len("host ")] == "host " {
		return st.name[:len("host 0")]
	}
	return st.name
}
