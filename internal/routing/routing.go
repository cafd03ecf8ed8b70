// Package routing selects the route of a request and the service that it is
// sent to. It has no side effects: a Table is built once for each version of
// the configuration and never changes. Validating the configuration, choosing
// targets and sending requests are done elsewhere. Begin with Config and
// Table.Match.
package routing

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Route defines which requests it applies to, where they are sent and how they
// may be run.
type Route struct {
	Name   string
	Host   string // host name that the caller requests, without a port
	Prefix string // of the path; begins and ends with a slash

	// Idempotent requests may run more than once. All others run at most once
	// for each attempt of a caller.
	Idempotent  bool
	Timeout     time.Duration // longest time that a caller waits for the answer
	Objective   time.Duration // latency up to which an answer has its full value
	Rank        int           // order of service under overload; 0 is first
	MaxAttempts int           // targets that one request, or one shard of it, may be sent to
	// Homes are the regions whose targets may receive the requests and whose
	// hosts may see their bodies; none: all regions.
	Homes []string

	// Destinations are the services among which requests are divided by weight;
	// a route over shards has none.
	Destinations []Destination

	// Shards are the services that each hold one part of the answer.
	Shards   []string
	TopK     int     // how many of the greatest records of all parts are kept
	MinShare float64 // minimum fraction of shards in a successful answer, 0..1
}

// Destination is a service and its weight among the destinations of a route.
type Destination struct {
	Service string
	Weight  float64
}

// Service is a named set of targets.
type Service struct {
	Name           string
	HealthPath     string // path of the health check
	MaxConnections int    // connections that one target accepts from all hosts together

	ColdFor       time.Duration // how long a target is cold after its start
	ColdPerSecond float64       // maximum request rate of a cold target, from all hosts together; 0: no limit
}

// Limits restrict what a caller may send. Zero means no limit.
type Limits struct {
	HeaderBytes   int64
	BodyBytes     int64
	HeaderTimeout time.Duration // from the first byte of a request to the end of its header
	IdleTimeout   time.Duration // how long a connection may stay open without a request
}

// Config is one version of the configuration. Hosts send it to each other as
// JSON with the names of the fields below, so the fields must not be renamed.
type Config struct {
	Version  uint64 // set by the operator; increases, not always by 1
	Routes   []Route
	Services []Service
	Limits   Limits
}

// Table finds the route of a request in one version of the configuration.
type Table struct {
	Config   Config
	services map[string]Service
	routes   map[string][]*Route // by host, longest prefix first
}

// NewTable builds the table of a configuration, which must not change
// afterwards.
func NewTable(c Config) *Table {
	t := &Table{
		Config:   c,
		services: make(map[string]Service, len(c.Services)),
		routes:   map[string][]*Route{},
	}
	for _, s := range c.Services {
		t.services[s.Name] = s
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.routes[host] = append(t.routes[host], r)
	}
	for _, rs := range t.routes {
		slices.SortStableFunc(rs, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// Match returns the route with the longest matching path prefix among those of
// the host, nil if there is none. host may include a port.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.routes[normalizeHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns the service with the name, and false if the configuration has
// none.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// normalizeHost returns the host of a Host header in lower case, without its
// port.
func normalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Services returns the names of all services that requests of the route are
// sent to.
func (r *Route) Services() []string {
	all := slices.Clone(r.Shards)
	for _, d := range r.Destinations {
		all = append(all, d.Service)
	}
	return all
}

// ChooseService returns the service that a request is sent to. draw is a random number
// in [0, 1); each service is chosen in proportion to its weight. It returns ""
// if no service has a weight.
func (r *Route) ChooseService(draw float64) string {
	total := 0.0
	for _, d := range r.Destinations {
		total += max(d.Weight, 0)
	}
	remaining := draw * total
	for _, d := range r.Destinations {
		if d.Weight <= 0 {
			continue
		}
		if remaining < d.Weight {
			return d.Service
		}
		remaining -= d.Weight
	}
	return r.lastWeightedService()
}

// lastWeightedService returns the last service with a weight. ChooseService falls back
// to it if rounding errors leave a remainder after all weights.
func (r *Route) lastWeightedService() string {
	for _, d := range slices.Backward(r.Destinations) {
		if d.Weight > 0 {
			return d.Service
		}
	}
	return ""
}
