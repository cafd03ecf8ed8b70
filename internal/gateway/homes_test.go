package gateway_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/discovery"
	"rhubarbwood.example/rhubarbwood/internal/gateway"
	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/routing"
	"rhubarbwood.example/rhubarbwood/internal/standin/platformtarget"
	"rhubarbwood.example/rhubarbwood/platform"
)

// testRegions are the regions of the failure domains: each service has one target in region "here",
// one in "elsewhere", and one in a domain without a region.
var testRegions = map[string]string{domain: "here", otherDomain: "elsewhere"}

// withHomes runs a test on a site of four services whose routes have home regions.
func withHomes(t *testing.T, o options, homes []string, test func(t *testing.T, s *site)) {
	o.services, o.regions = 4, testRegions
	run(t, o, func(t *testing.T, s *site) {
		for i := range 4 {
			service := fmt.Sprintf("s%d", i)
			s.moveTarget(service+"-t1", service, otherDomain)
			s.addTarget(service, service+"-t2", "unknown", 1)
		}
		s.configure(2, setHomes(homes, s.defaultRoutes(4))...)
		test(t, s)
	})
}

func setHomes(homes []string, routes []routing.Route) []routing.Route {
	for i := range routes {
		routes[i].Homes = homes
	}
	return routes
}

// moveTarget registers a target in another failure domain.
func (s *site) moveTarget(id, service, to string) {
	s.register(discovery.Target{ID: id, Service: service, Address: id + ":80", Domain: to, Slots: 4})
}

// arrivedAt returns the number of requests received by the targets with a number, over all
// services.
func (s *site) arrivedAt(number int) int {
	n := 0
	for i := range 4 {
		n += s.targets[fmt.Sprintf("s%d-t%d", i, number)].Received()
	}
	return n
}

// Requests of a route with home regions reach no target outside them: first attempts, retries and
// hedges, of single requests and of parts, whatever the faults of the targets in the home regions.
func TestRequestsStayInTheirHomes(t *testing.T) {
	for name, home := range map[string]int{"here": 0, "elsewhere": 1} {
		for fault, f := range map[string]platformtarget.Faults{
			"well": {}, "fail": {Fail: 0.5}, "shed": {Shed: 0.5}, "lose": {Lose: 0.5}, "slow": {Slow: 8}, "silent": {Silent: true},
		} {
			t.Run(name+" "+fault, func(t *testing.T) {
				withHomes(t, options{}, []string{name}, func(t *testing.T, s *site) {
					is := is.New(t)
					for i := range 4 {
						s.faults(fmt.Sprintf("s%d-t%d", i, home), f)
					}
					for i := range 20 {
						for _, path := range []string{"/one/x", "/once/x", "/all/x"} {
							s.get(path, fmt.Sprintf("%s%d", path, i))
						}
					}
					is.True(s.arrivedAt(home) > 0)
					is.Equal(s.arrivedAt(0)+s.arrivedAt(1)+s.arrivedAt(2), s.arrivedAt(home))
				})
			})
		}
	}
}

// Routes without home regions use all targets, including those of domains without a region.
func TestRoutesWithoutHomesUseAllTargets(t *testing.T) {
	withHomes(t, options{}, nil, func(t *testing.T, s *site) {
		is := is.New(t)
		for i := range 4 {
			s.faults(fmt.Sprintf("s%d-t0", i), platformtarget.Faults{Fail: 1})
			s.faults(fmt.Sprintf("s%d-t1", i), platformtarget.Faults{Fail: 1})
		}
		for i := range 40 {
			s.get("/one/x", fmt.Sprint("r", i))
		}
		is.True(s.arrivedAt(2) > 0)
	})
}

// If no target is left in the home regions, the request is refused at once as not run.
func TestRequestWithoutATargetAtHomeIsRefused(t *testing.T) {
	withHomes(t, options{}, []string{"nowhere"}, func(t *testing.T, s *site) {
		is := is.New(t)
		for _, path := range []string{"/one/x", "/once/x", "/all/x"} {
			a := s.get(path, path)
			is.Equal(a.status, http.StatusServiceUnavailable)
			is.True(a.header.Get("Retry-After") != "")
			is.Equal(a.took.Milliseconds(), int64(0))
		}
		is.Equal(s.arrivedAt(0)+s.arrivedAt(1)+s.arrivedAt(2), 0)
	})
}

// A query is not delegated to a host outside its home regions. The host that the caller reached may
// be outside, and then gathers the query itself if necessary.
func TestNoHelperOutsideTheHomes(t *testing.T) {
	for name, want := range map[string]int{"here": 0, "elsewhere": 1} {
		t.Run(name, func(t *testing.T) {
			f := &fakeHelpers{}
			helper := member.Host{ID: "w", FailureDomain: otherDomain, State: member.Alive, LinkMbps: wideMbps}
			o := options{link: narrowMbps, hosts: []member.Host{helper}, helpers: func(s *site) gateway.Helpers {
				f.gateway = s.gateway(helper)
				return f
			}}
			withHomes(t, o, []string{name}, func(t *testing.T, s *site) {
				is := is.New(t)
				a := s.get("/all/x", "r")
				is.Equal(a.status, http.StatusOK)
				is.Equal(a.header.Get(platform.HeaderMissing), "0")
				is.Equal(f.calls, want)
				is.Equal(s.arrivedAt(want), 4)
				is.Equal(s.arrivedAt(0)+s.arrivedAt(1)+s.arrivedAt(2), 4)
			})
		})
	}
}
