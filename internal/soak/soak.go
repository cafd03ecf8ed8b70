// Package soak runs gateway hosts as processes of their own on loopback, troubles
// them from outside with signals, proxies, a faulty store and faulty targets, and
// holds what callers and targets see against the promises of the system. A run
// follows a seed.
package soak

import (
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("soak")

// Config tells how to soak.
type Config struct {
	Binary  string        // the program to run
	Seed    uint64        // of everything that is drawn
	Storm   time.Duration // of faults, before the calm
	Callers int
	// Hosts is the number of hosts; 0: three.
	Hosts int
	// AllFaults adds those that the first seeds knew nothing of: targets that crash, also by a
	// request, and are back under their id; entries of other writers in the store; hosts that are
	// suspended; signals and changes in series; callers that keep their connections until the
	// host is gone. A seed without them plays what it always did.
	AllFaults bool
	// Helpers gives all hosts but the last a narrow link, so that it gathers their
	// queries.
	Helpers bool
	// Placement adds what binds where requests go: failure domains are evacuated, targets are cold after a
	// crash, a route has a home. Targets tell their load and pause.
	Placement bool
	// Restores makes the store come back from older copies of itself.
	Restores bool
}

func (c Config) hosts() int {
	if c.Hosts == 0 {
		return 3
	}
	return c.Hosts
}

// versions returns how many versions of the configuration there may be.
func (c Config) versions() int {
	if c.AllFaults {
		return 36
	}
	return 12
}

// Link rates of hosts, in Mbit/s: the answers to a query occupy a narrow one for more
// than the objective allows.
const (
	narrowLink = 1
	wideLink   = 100
)

// link returns the link rate that a host is told, 0 if none.
func (c Config) link(host int) float64 {
	switch {
	case !c.Helpers:
		return 0
	case host == c.hosts()-1:
		return wideLink
	}
	return narrowLink
}

// Report is what one run found.
type Report struct {
	Seed       uint64
	Requests   int
	Answered   int // whole and successful
	Steps      []string
	Violations []Violation
	Logs       string // folder with the hosts' logs, kept after a violation
}

// Run runs one seed: a storm of faults, a time to settle, and planned work in the
// calm, with callers all the while. Every process that it started has ended when
// it returns.
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
	time.Sleep(warmTime)
	cs := startCallers(s, cfg, rng)
	r.play(s, cfg.storm(rng))
	if cfg.AllFaults {
		last := cfg.leaveUnseen()
		if cfg.Restores {
			last = append(last, cfg.lastRestore())
			time.Sleep(knownAfter)
		}
		r.play(s, last)
	}
	time.Sleep(settleTime)
	calmFrom := time.Now()
	r.play(s, cfg.calm(rng))
	time.Sleep(time.Until(calmFrom.Add(calmTime)))
	exchanges := cs.end()
	calmTo := time.Now()
	time.Sleep(routeTimeout) // what runs late after a refusal is seen, too
	r.Violations = gather(s, exchanges, calmFrom, calmTo).check()
	r.count(exchanges)
	if len(r.Violations) > 0 {
		r.Logs = s.dir
	}
	s.stop(len(r.Violations) > 0)
	return r, nil
}

func (r *Report) count(exchanges []exchange) {
	r.Requests = len(exchanges)
	for _, x := range exchanges {
		if x.status >= 200 && x.status < 300 {
			r.Answered++
		}
	}
}

// play carries out steps at their times, and undoes them. It returns when all is
// undone.
func (r *Report) play(s *site, steps []step) {
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
			lock.Lock() // a host that is away is not troubled again before it is back
			defer lock.Unlock()
			st.do(s)
			if st.undo != nil {
				time.Sleep(st.last)
				st.undo(s)
			}
		})
	}
	work.Wait()
}

// subject names what a step concerns.
func (st step) subject() string {
	if len(st.name) > len("host 0") && st.name[:len("host ")] == "host " {
		return st.name[:len("host 0")]
	}
	return st.name
}
