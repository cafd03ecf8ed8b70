package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/standin/platformtarget"
	"rhubarbwood.example/rhubarbwood/platform"
)

// Limits on where requests may go, and the corresponding host settings.
const (
	maxEvacuationDelay    = 2 * time.Second // from the write of an evacuation until no request is sent there
	coldDuration          = 1500 * time.Millisecond
	coldRequestsPerSecond = 12.0 // capacity of a cold target
	warmupRatio           = 1.5
	warmupSlackRequests   = 5.0
)

// Periodic pauses of targets, like garbage collections.
const (
	targetPause       = 250 * time.Millisecond
	targetPausePeriod = 3 * time.Second
)

// maxRequestsWhileCold is the maximum number of requests that a cold target may receive in any
// second.
const maxRequestsWhileCold = coldRequestsPerSecond*warmupRatio + warmupSlackRequests

// Regions of the site. The version route is restricted to its home region.
const (
	regionHome = "home"
	regionAway = "away"
)

// placementStream selects the random number stream of placement faults. A stream of their own
// leaves the other faults of a seed unchanged.
const placementStream = 2

// awayDomain returns the failure domain outside the home region of the version route. It is
// evacuated in the calm phase.
func (c Config) awayDomain() int {
	return rand.New(rand.NewPCG(c.Seed, placementStream)).IntN(domainCount)
}

// region returns the region of a failure domain.
func (c Config) region(domain int) string {
	if domain%domainCount == c.awayDomain() {
		return regionAway
	}
	return regionHome
}

// placementSettings returns a host's placement settings, or nil without placement.
func (c Config) placementSettings() *placementSettings {
	if !c.Placement {
		return nil
	}
	p := &placementSettings{Regions: map[string]string{}}
	for d := range domainCount {
		p.Regions[domainName(d)] = c.region(d)
	}
	return p
}

// placementSettings are the settings of a host that concern placement.
type placementSettings struct {
	Regions map[string]string
}

// addTo adds the placement settings to a host's settings. It does nothing on nil.
func (p *placementSettings) addTo(settings map[string]any) {
	if p == nil {
		return
	}
	settings["discovery"] = map[string]any{"evacuate_within": maxEvacuationDelay.String()}
	settings["gateway"] = map[string]any{"warmup_ratio": warmupRatio, "warmup_slack": warmupSlackRequests, "regions": p.Regions}
}

// addPlacement adds cold-start limits and allowed regions to a configuration.
func (c Config) addPlacement(config *platform.Config) {
	if !c.Placement {
		return
	}
	for i := range config.Services {
		config.Services[i].ColdStartS = coldDuration.Seconds()
		config.Services[i].ColdPerS = coldRequestsPerSecond
	}
	for i := range config.Routes {
		if config.Routes[i].PathPrefix == pathVersion {
			config.Routes[i].AllowedRegions = []string{regionHome}
		}
	}
}

// configurePlacement makes a target report its load, pause periodically, and be cold after a
// crash.
func (t *targetServer) configurePlacement(cfg *platformtarget.Config, afterCrash bool) {
	if !t.site.cfg.Placement {
		return
	}
	cfg.ReportLoad, cfg.Pause, cfg.PauseEvery = true, targetPause, targetPausePeriod
	if afterCrash {
		cfg.Cold = coldDuration
	}
}

// placementFault draws an evacuation or a crash of targets that restart cold.
func (c Config) placementFault(rng *rand.Rand) step {
	if rng.IntN(2) == 0 {
		return targetCrashes(rng)
	}
	domain := rng.IntN(domainCount)
	return step{
		name: fmt.Sprintf("%s is evacuated", domainName(domain)),
		do:   func(s *site) { s.evacuate(domain) },
		undo: func(s *site) { s.endEvacuation(domain) },
	}
}

// placementStorm returns the placement faults of the storm phase.
func (c Config) placementStorm() []step {
	rng := rand.New(rand.NewPCG(c.Seed, placementStream))
	_ = rng.IntN(domainCount) // skip the number drawn by awayDomain
	const faultDivisor = 3    // keeps one of this many faults of the series
	var all []step
	for i, st := range series(rng, c.Storm, c.placementFault) {
		if i%faultDivisor == 0 {
			all = append(all, st)
		}
	}
	return all
}

// placementCalm returns the planned placement steps of the calm phase: an evacuation that is
// cancelled and set again.
func (c Config) placementCalm() []step {
	away := c.awayDomain()
	name := domainName(away) + " is evacuated"
	pauseBetween := 300 * time.Millisecond
	return []step{
		{at: 0, name: name, do: func(s *site) { s.evacuate(away) }},
		{at: time.Second, duration: pauseBetween, name: name + " no more, and again",
			do: func(s *site) { s.endEvacuation(away) }, undo: func(s *site) { s.evacuate(away) }},
	}
}

func (s *site) evacuate(domain int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.apply(platform.KindEvacuations, domainName(domain), struct{}{}); err != nil {
		panic(err) // an empty object always encodes
	}
	s.evacuatedSince[domainName(domain)] = time.Now()
}

func (s *site) endEvacuation(domain int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.evacuatedSince, domainName(domain))
	s.store.Remove(platform.KindEvacuations, domainName(domain))
}

// collectPlacement collects the observations that the placement checks need.
func (e *observations) collectPlacement(s *site) {
	if !s.cfg.Placement {
		return
	}
	e.awayDomain = domainName(s.cfg.awayDomain())
	e.domainOf, e.evacuatedSince, e.maxColdRequests = map[string]string{}, map[string]time.Time{}, map[string]int{}
	s.mu.Lock()
	for domain, at := range s.evacuatedSince {
		e.evacuatedSince[domain] = at
	}
	s.mu.Unlock()
	for _, t := range s.targets {
		e.domainOf[t.id] = t.domain
		e.maxColdRequests[t.id] = t.maxRequestsWhileCold()
	}
}

// maxRequestsWhileCold returns the maximum number of requests that an incarnation received in any
// second while it was cold.
func (t *targetServer) maxRequestsWhileCold() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	most := 0
	for _, one := range t.incarnations {
		most = max(most, one.MaxRequestsWhileCold())
	}
	return most
}

// checkPlacement checks the request limit of cold targets, evacuations and allowed regions.
func (e *observations) checkPlacement() []Violation {
	var all []Violation
	for id, n := range e.maxColdRequests {
		if float64(n) > maxRequestsWhileCold {
			all = append(all, Violation{"a cold target gets no more than it bears", fmt.Sprintf("%s received %d requests within a second, limit %g", id, n, maxRequestsWhileCold)})
		}
	}
	for _, x := range e.exchanges {
		for _, r := range e.executions[x.requestID] {
			domain := e.domainOf[r.target]
			if at, is := e.evacuatedSince[domain]; is && r.began.After(at.Add(maxEvacuationDelay)) {
				all = append(all, Violation{"nothing is sent to an evacuated failure domain", fmt.Sprintf("request %s ran at %s %s after its evacuation", x.requestID, r.target, r.began.Sub(at))})
			}
			if x.kind == kindVersion && domain == e.awayDomain && e.awayDomain != "" {
				all = append(all, Violation{"a request stays in its homes", fmt.Sprintf("request %s ran at %s in %s", x.requestID, r.target, domain)})
			}
		}
	}
	return all
}
