package gateway_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/gateway"
	"rhubarbwood.example/rhubarbwood/internal/routing"
	"rhubarbwood.example/rhubarbwood/internal/standin/platformtarget"
)

// sparseLoad runs a test on a host that gets one single, non-idempotent request every three seconds
// and returns how many were answered in time. One of its five targets is slow, a different one
// every ten seconds.
func sparseLoad(t *testing.T, tellLoad bool, without ...gateway.Mechanism) (inTime int) {
	o := options{without: without, changeTarget: func(c *platformtarget.Config) { c.ReportLoad = tellLoad }}
	run(t, o, func(t *testing.T, s *site) {
		for i := range 3 {
			s.addTarget("s0", fmt.Sprintf("s0-t%d", 2+i), domain, 1)
		}
		for i := range sparseRequests {
			for j := range 5 {
				slow := platformtarget.Faults{}
				if j == i/3%5 {
					slow.Slow = 20
				}
				s.faults(fmt.Sprintf("s0-t%d", j), slow)
			}
			a := s.send(http.MethodPost, "/once/x", fmt.Sprintf("r%d", i), "")
			if a.status == http.StatusOK && a.took <= objective {
				inTime++
			}
			time.Sleep(3 * time.Second)
		}
	})
	return inTime
}

const sparseRequests = 90

// A host with few requests has no current data on its targets' load. It queries two targets, so a
// request gets to the slow one only if nothing better is known. Without load queries the slow
// target gets requests at random.
func TestLoadQueryAvoidsSlowTarget(t *testing.T) {
	is := is.New(t)
	is.True(sparseLoad(t, true) >= sparseRequests*97/100)
	is.True(sparseLoad(t, true, gateway.LoadQueries) < sparseRequests*90/100)
	is.True(sparseLoad(t, false) < sparseRequests*90/100) // without load reports nothing is queried
}

// Targets that don't answer load queries delay the request by the query's timeout at most.
func TestUnansweredLoadQueryBarelyDelaysRequest(t *testing.T) {
	run(t, options{changeTarget: func(c *platformtarget.Config) { c.ReportLoad = true }}, func(t *testing.T, s *site) {
		is := is.New(t)
		is.Equal(s.get("/one/x", "first").status, http.StatusOK) // the response reports the load
		for _, target := range s.targets {
			target.HangHealthCheck(true)
		}
		for i := range 5 {
			a := s.get("/one/x", fmt.Sprintf("r%d", i))
			is.Equal(a.status, http.StatusOK)
			is.True(a.took <= targetLatency+objective/50)
		}
	})
}

// If the only connection to a target is reserved for a request, no load query is sent over it. An
// unanswered query would close the connection just as the request takes it, and the request would
// be refused as "targets are busy".
func TestLoadQueryLeavesLastConnectionToRequest(t *testing.T) {
	const connections = 1 // per target
	var dialed atomic.Int32
	o := options{changeTarget: func(c *platformtarget.Config) { c.ReportLoad = true }}
	o.dial = func(s *site, ctx context.Context, network, address string) (net.Conn, error) {
		dialed.Add(1)
		return s.network.Dial(ctx, network, address)
	}
	run(t, o, func(t *testing.T, s *site) {
		is := is.New(t)
		few := func(service *routing.Service) { service.MaxConnections = connections }
		s.configureWith(2, few, s.defaultRoutes(1)...)
		is.Equal(s.get("/one/x", "first").status, http.StatusOK) // the response reports the load
		for _, target := range s.targets {
			target.HangHealthCheck(true)
		}
		for round := range 20 {
			answers := make(chan int)
			for i := range connections * len(s.targets) {
				go func() { answers <- s.send(http.MethodPost, "/once/x", fmt.Sprintf("r%d-%d", round, i), "").status }()
			}
			statuses := map[int]int{}
			for range connections * len(s.targets) {
				statuses[<-answers]++
			}
			is.Equal(statuses, map[int]int{http.StatusOK: connections * len(s.targets)})
			time.Sleep(time.Second)
		}
		is.True(int(dialed.Load()) <= connections*len(s.targets))
	})
}
