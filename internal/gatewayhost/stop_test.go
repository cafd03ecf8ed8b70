package gatewayhost

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/standin/platformtarget"
	"rhubarbwood.example/rhubarbwood/internal/unit"
)

const (
	stopGrace       = 6 * time.Second
	stopBalancerLag = 3700 * time.Millisecond
)

// stopAnswer is the answer to a request that was sent to a host around its stop.
type stopAnswer struct {
	sent   time.Duration // after the stop signal; negative: before it
	took   time.Duration
	status int // 0: the connection ended without an answer
}

// stopWhileSending sends requests that may run once to host 0, at the interval, from lead before its stop until lag after
// it, and returns their answers by request id. Requests are sent over new connections, as a load balancer does that has
// not noticed the stop yet.
func (f *fleet) stopWhileSending(lead, lag, interval time.Duration) map[string]stopAnswer {
	var mu sync.Mutex
	answers := map[string]stopAnswer{}
	var callers sync.WaitGroup
	stopAt := time.Now().Add(lead)
	callers.Go(func() {
		time.Sleep(time.Until(stopAt))
		_ = f.hosts[0].Stop(context.Background()) // what it cuts off shows in the answers
	})
	for n := 0; time.Now().Before(stopAt.Add(lag)); n++ {
		id, sent := fmt.Sprintf("r%d", n), time.Now()
		callers.Go(func() {
			status := f.send(0, http.MethodPost, pathOnce+"x", id)
			mu.Lock()
			defer mu.Unlock()
			answers[id] = stopAnswer{sent: sent.Sub(stopAt), took: time.Since(sent), status: status}
		})
		time.Sleep(interval)
	}
	callers.Wait()
	return answers
}

// countRuns returns how often targets began to run each request.
func (f *fleet) countRuns() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	runs := map[string]int{}
	for _, t := range f.incarnations {
		for _, r := range t.Runs() {
			runs[r.RequestID]++
		}
	}
	return runs
}

// setFaults sets the faults of all targets.
func (f *fleet) setFaults(faults platformtarget.Faults) {
	for _, t := range f.targets {
		t.target.SetFaults(faults)
	}
}

func withStopSettings(s *Settings) {
	s.Stop = Stop{Grace: unit.Duration(stopGrace), BalancerLag: unit.Duration(stopBalancerLag)}
}

// A host passed on requests that it got late in its stop, and closed their connections before targets had answered: callers
// could not tell whether requests that may run once had run. Such requests must be refused as not run.
func TestStopRefusesRequestsThatItCannotComplete(t *testing.T) {
	runFleet(t, &fleet{settings: withStopSettings, requestTimeout: 5 * time.Second, objective: 2500 * time.Millisecond}, func(t *testing.T, f *fleet) {
		is := is.New(t)
		f.setFaults(platformtarget.Faults{Slow: 180}) // 1.8 s
		answers := f.stopWhileSending(5*time.Second, stopBalancerLag, 100*time.Millisecond)
		runs := f.countRuns()
		served, refused := 0, 0
		for id, a := range answers {
			switch a.status {
			case http.StatusOK:
				if a.sent > 0 {
					served++
				}
				is.Equal(runs[id], 1)
			case http.StatusServiceUnavailable:
				refused++
				is.Equal(runs[id], 0)
				is.True(a.sent > time.Second)          // early in the stop there is time to serve requests
				is.True(a.took < 100*time.Millisecond) // at once, so that the caller has time left for another host
			default:
				t.Errorf("%s, sent %s after the stop signal: status %d after %s, ran %d times", id, a.sent, a.status, a.took, runs[id])
			}
		}
		is.True(served >= 10)
		is.True(refused >= 10)
	})
}

// Requests that are in flight when a host ends were cut off without an answer. They must be answered: as not run if
// they were not sent to a target, otherwise as possibly run.
func TestStopAnswersRequestsInFlight(t *testing.T) {
	runFleet(t, &fleet{settings: withStopSettings, requestTimeout: 10 * time.Second, objective: 2500 * time.Millisecond}, func(t *testing.T, f *fleet) {
		is := is.New(t)
		f.setFaults(platformtarget.Faults{Silent: true})
		answers := f.stopWhileSending(time.Second, 0, 5*time.Millisecond)
		runs := f.countRuns()
		statuses := map[int]int{}
		for id, a := range answers {
			statuses[a.status]++
			switch a.status {
			case http.StatusBadGateway:
			case http.StatusServiceUnavailable:
				is.Equal(runs[id], 0)
			default:
				t.Errorf("%s, sent %s before the stop signal: status %d after %s, ran %d times", id, -a.sent, a.status, a.took, runs[id])
			}
			is.True(a.sent+a.took <= stopGrace-exitMargin)
		}
		is.True(statuses[http.StatusBadGateway] > 0)
		is.True(statuses[http.StatusServiceUnavailable] > 0)
	})
}
