package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/standin/platformtarget"
	"rhubarbwood.example/rhubarbwood/platform"
)

// What binds where a request may go, and what hosts are told of it.
const (
	evacuateWithin = 2 * time.Second // from an entry in the store until nothing more is sent there
	coldFor        = 1500 * time.Millisecond
	coldPerSecond  = 12.0 // requests that a cold target bears
	coldRatio      = 1.5
	coldSlack      = 5.0
)

// Pauses of targets, as for garbage collection.
const (
	pauseFor   = 250 * time.Millisecond
	pauseEvery = 3 * time.Second
)

// mostWhileCold is how many requests a target may get in any second while it is cold.
const mostWhileCold = coldPerSecond*coldRatio + coldSlack

// Regions of the site. The route of versions has a home.
const (
	regionHome = "home"
	regionAway = "away"
)

// placementStream is the stream of a seed's random numbers that placement draws from, so that its other
// faults stay as they were.
const placementStream = 2

// awayDomain is the failure domain outside the home of the route of versions. It is evacuated in the calm.
func (c Config) awayDomain() int {
	return rand.New(rand.NewPCG(c.Seed, placementStream)).IntN(domains)
}

// region returns the region of a failure domain.
func (c Config) region(domain int) string {
	if domain%domains == c.awayDomain() {
		return regionAway
	}
	return regionHome
}

// placed returns what a host's settings tell of placement; nil: nothing.
func (c Config) placed() *placedSettings {
	if !c.Placement {
		return nil
	}
	p := &placedSettings{Regions: map[string]string{}}
	for d := range domains {
		p.Regions[domainName(d)] = c.region(d)
	}
	return p
}

// placedSettings are the settings of a host that concern placement.
type placedSettings struct {
	Regions map[string]string
}

// into puts them into the settings of a host. A nil one puts nothing.
func (p *placedSettings) into(settings map[string]any) {
	if p == nil {
		return
	}
	settings["discovery"] = map[string]any{"evacuate_within": evacuateWithin.String()}
	settings["gateway"] = map[string]any{"warmup_ratio": coldRatio, "warmup_slack": coldSlack, "regions": p.Regions}
}

// place adds to a configuration what binds where its requests go.
func (c Config) place(config *platform.Config) {
	if !c.Placement {
		return
	}
	for i := range config.Services {
		config.Services[i].ColdStartS = coldFor.Seconds()
		config.Services[i].ColdPerS = coldPerSecond
	}
	for i := range config.Routes {
		if config.Routes[i].PathPrefix == pathVersion {
			config.Routes[i].AllowedRegions = []string{regionHome}
		}
	}
}

// placed makes a target tell its load, pause, and be cold after a crash.
func (t *targetServer) placed(cfg *platformtarget.Config, returns bool) {
	if !t.site.cfg.Placement {
		return
	}
	cfg.TellLoad, cfg.Pause, cfg.PauseEvery = true, pauseFor, pauseEvery
	if returns {
		cfg.Cold = coldFor
	}
}

// placementFault draws an evacuation, or targets that are back cold after a crash.
func (c Config) placementFault(rng *rand.Rand) step {
	if rng.IntN(2) == 0 {
		return crashes(rng)
	}
	domain := rng.IntN(domains)
	return step{
		name: fmt.Sprintf("%s is evacuated", domainName(domain)),
		do:   func(s *site) { s.evacuate(domain) },
		undo: func(s *site) { s.endEvacuation(domain) },
	}
}

// placementStorm returns the faults of placement in the storm.
func (c Config) placementStorm() []step {
	rng := rand.New(rand.NewPCG(c.Seed, placementStream))
	_ = rng.IntN(domains) // the away domain
	const fewer = 3       // times fewer faults than of the other series
	var all []step
	for i, st := range series(rng, c.Storm, c.placementFault) {
		if i%fewer == 0 {
			all = append(all, st)
		}
	}
	return all
}

// placementCalm returns the planned work of placement: an evacuation that is taken back and set again.
func (c Config) placementCalm() []step {
	away := c.awayDomain()
	name := domainName(away) + " is evacuated"
	again := 300 * time.Millisecond
	return []step{
		{at: 0, name: name, do: func(s *site) { s.evacuate(away) }},
		{at: time.Second, last: again, name: name + " no more, and again",
			do: func(s *site) { s.endEvacuation(away) }, undo: func(s *site) { s.evacuate(away) }},
	}
}

func (s *site) evacuate(domain int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.apply(platform.KindEvacuations, domainName(domain), struct{}{}); err != nil {
		panic(err) // an empty object always has a JSON form
	}
	s.evacuated[domainName(domain)] = time.Now()
}

func (s *site) endEvacuation(domain int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.evacuated, domainName(domain))
	s.store.Remove(platform.KindEvacuations, domainName(domain))
}

// gatherPlacement takes what the promises of placement need.
func (e *evidence) gatherPlacement(s *site) {
	if !s.cfg.Placement {
		return
	}
	e.away = domainName(s.cfg.awayDomain())
	e.domains, e.evacuated, e.cold = map[string]string{}, map[string]time.Time{}, map[string]int{}
	s.mu.Lock()
	for domain, at := range s.evacuated {
		e.evacuated[domain] = at
	}
	s.mu.Unlock()
	for _, t := range s.targets {
		e.domains[t.id] = t.domain
		e.cold[t.id] = t.mostWhileCold()
	}
}

// mostWhileCold returns how many requests came in any second in which an incarnation was cold.
func (t *targetServer) mostWhileCold() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	most := 0
	for _, one := range t.incarnations {
		most = max(most, one.MostWhileCold())
	}
	return most
}

// checkPlacement holds that requests go only where they may.
func (e *evidence) checkPlacement() []Violation {
	var all []Violation
	for id, n := range e.cold {
		if float64(n) > mostWhileCold {
			all = append(all, Violation{"a cold target gets no more than it bears", fmt.Sprintf("%s got %d requests within a second, bears %g", id, n, mostWhileCold)})
		}
	}
	for _, x := range e.exchanges {
		for _, r := range e.runs[x.id] {
			domain := e.domains[r.target]
			if at, is := e.evacuated[domain]; is && r.began.After(at.Add(evacuateWithin)) {
				all = append(all, Violation{"nothing is sent to an evacuated failure domain", fmt.Sprintf("request %s ran at %s %s after it was", x.id, r.target, r.began.Sub(at))})
			}
			if x.kind == kindVersion && domain == e.away && e.away != "" {
				all = append(all, Violation{"a request stays in its homes", fmt.Sprintf("request %s ran at %s in %s", x.id, r.target, domain)})
			}
		}
	}
	return all
}
