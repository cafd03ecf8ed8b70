package gateway_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/gateway"
	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/standin/platformtarget"
	"rhubarbwood.example/rhubarbwood/platform"
)

const otherDomain = "new-town"

// withCells runs a test on a site with eight shards: the first four have their targets in the
// gateway's failure domain, the others in another domain, which has a helper. Both hosts have wide
// links.
func withCells(t *testing.T, fault helperFault, link uint32, test func(t *testing.T, s *site, f *fakeHelpers), without ...gateway.Mechanism) {
	f := &fakeHelpers{fault: fault}
	near := member.Host{ID: "n", FailureDomain: domain, State: member.Alive, LinkMbps: wideMbps}
	far := member.Host{ID: "w", FailureDomain: otherDomain, State: member.Alive, LinkMbps: wideMbps}
	o := options{services: 8, records: 2, link: link, hosts: []member.Host{far}, without: without}
	if link == narrowMbps {
		o.hosts = []member.Host{near, far}
	}
	o.domainOf = func(service int) string {
		if service < 4 {
			return domain
		}
		return otherDomain
	}
	o.helpers = func(s *site) gateway.Helpers {
		f.gateway = s.gateway(far, without...)
		return f
	}
	run(t, o, func(t *testing.T, s *site) { test(t, s, f) })
}

// Each shard is requested from a host in the failure domain of its targets, and the results of both
// hosts are merged.
func TestQueryIsDividedOverFailureDomains(t *testing.T) {
	withCells(t, helperHealthy, wideMbps, func(t *testing.T, s *site, f *fakeHelpers) {
		is := is.New(t)
		a := s.get("/all/x", "r1")
		checkWholeAnswer(is, a)
		is.Equal(len(strings.Split(a.header.Get(platform.HeaderParts), ", ")), 8)
		is.Equal(f.calls, 1)
		is.Equal(f.shards, 4)
		is.Equal(s.runs("r1"), 8)
		is.True(a.took < 2*targetLatency)
		is.Equal(s.recorded.last().Attempts, 8)
	})
}

// A host with a narrow link delegates every shard to a host in the failure domain of its targets.
func TestNarrowHostDividesItsQuery(t *testing.T) {
	withCells(t, helperHealthy, narrowMbps, func(t *testing.T, s *site, f *fakeHelpers) {
		is := is.New(t)
		checkWholeAnswer(is, s.get("/all/x", "r1"))
		is.Equal(f.calls, 2)
		is.Equal(s.runs("r1"), 8)
	})
}

// Slow shards in either cell are left out in time.
func TestDividedQueryLeavesOutStragglersInTime(t *testing.T) {
	withCells(t, helperHealthy, wideMbps, func(t *testing.T, s *site, f *fakeHelpers) {
		is := is.New(t)
		s.faults("s1", platformtarget.Faults{Silent: true})
		s.faults("s6", platformtarget.Faults{Silent: true})
		a := s.get("/all/x", "r1")
		is.Equal(a.status, http.StatusOK)
		is.Equal(a.header.Get(platform.HeaderMissing), "2")
		is.True(a.took < objective)
	})
}

// If the answer lacks parts that it needs, it waits for them past the objective, whichever host
// gathers them.
func TestDividedQueryWaitsForMinShare(t *testing.T) {
	withCells(t, helperHealthy, wideMbps, func(t *testing.T, s *site, f *fakeHelpers) {
		is := is.New(t)
		for _, slow := range []string{"s4", "s5", "s6", "s7", "s0"} { // of eight, of which half are needed
			s.faults(slow, platformtarget.Faults{Slow: 20})
		}
		a := s.get("/all/x", "r1")
		is.Equal(a.status, http.StatusOK)
		is.True(a.took > objective)
		is.True(a.took < timeout)
	}, gateway.BoundedWork, gateway.Hedges)
}

// If a helper is lost after the go-ahead, the shards of its cell are missing and are not requested
// again.
func TestShardsOfDeadHelperAreMissing(t *testing.T) {
	withCells(t, helperDiesLate, wideMbps, func(t *testing.T, s *site, f *fakeHelpers) {
		is := is.New(t)
		a := s.get("/all/x", "r1")
		is.Equal(a.status, http.StatusOK) // half of the parts are enough
		is.Equal(a.header.Get(platform.HeaderMissing), "4")
		is.Equal(s.runs("r1"), 8)
	})
}

// Parts that a helper has reported are kept when it is lost.
func TestPartialResultOfLostHelperIsKept(t *testing.T) {
	withCells(t, helperDiesDue, wideMbps, func(t *testing.T, s *site, f *fakeHelpers) {
		is := is.New(t)
		s.faults("s0", platformtarget.Faults{Slow: 20}) // with it four of eight answer, which is enough
		for _, silent := range []string{"s1", "s2", "s3", "s6"} {
			s.faults(silent, platformtarget.Faults{Silent: true})
		}
		a := s.get("/all/x", "r1")
		is.Equal(a.status, http.StatusOK)
		is.Equal(a.header.Get(platform.HeaderMissing), "4")
	}, gateway.BoundedWork, gateway.Hedges)
}

// The caller is answered as soon as too many parts are lost.
func TestDividedQueryThatCannotSucceedEndsAtOnce(t *testing.T) {
	withCells(t, helperHealthy, wideMbps, func(t *testing.T, s *site, f *fakeHelpers) {
		is := is.New(t)
		for _, failing := range []string{"s0", "s1", "s2", "s3", "s5"} {
			s.faults(failing, platformtarget.Faults{Fail: 1})
		}
		s.faults("s7", platformtarget.Faults{Silent: true})
		a := s.get("/all/x", "r1")
		is.Equal(a.status, http.StatusBadGateway)
		is.True(a.took < timeout/2)
	})
}

func TestLocalityIsSwitchedOff(t *testing.T) {
	f := &fakeHelpers{}
	far := member.Host{ID: "w", FailureDomain: otherDomain, State: member.Alive, LinkMbps: wideMbps}
	o := options{services: 8, records: 2, link: wideMbps, hosts: []member.Host{far}, without: []gateway.Mechanism{gateway.Locality}}
	o.domainOf = func(int) string { return otherDomain }
	o.helpers = func(s *site) gateway.Helpers { return f }
	run(t, o, func(t *testing.T, s *site) {
		is := is.New(t)
		checkWholeAnswer(is, s.get("/all/x", "r1"))
		is.Equal(f.calls, 0)
	})
}
