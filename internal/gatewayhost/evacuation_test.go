package gatewayhost

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/standin/objectstore"
	"rhubarbwood.example/rhubarbwood/internal/unit"
	"rhubarbwood.example/rhubarbwood/platform"
)

// Times of the tests below.
const (
	evacuationBound        = 3 * time.Second        // setting evacuate_within of the hosts
	expectedEvacuationTime = time.Second            // on a host that can reach the store
	requestInterval        = 20 * time.Millisecond  // between two requests of all callers together
	inFlightMargin         = 100 * time.Millisecond // for requests received before the evacuation was in force
)

// evacuationCase is a scenario in which a failure domain is evacuated.
type evacuationCase struct {
	bound time.Duration // from the acknowledged write until the domain must get no more requests
	// startFault starts a fault just before the evacuation, and returns the function that ends it.
	startFault func(f *fleet) (end func())
	linkMbps   func(host int) float64
}

// After an operator has evacuated a failure domain, its targets get no request from any host on any path until the
// evacuation ends; then they are used again. Hosts without support for evacuations sent 9,484 requests too late in 12 s.
func TestEvacuatedFailureDomainGetsNothing(t *testing.T) {
	noFault := func(*fleet) func() { return func() {} }
	for name, c := range map[string]evacuationCase{
		"calm":    {bound: expectedEvacuationTime, startFault: noFault},
		"helpers": {bound: expectedEvacuationTime, startFault: noFault, linkMbps: oneWideLink},
		"a third of the hosts have lost the store": {bound: evacuationBound, startFault: func(f *fleet) func() {
			for i := 0; i < len(f.hosts); i += 3 {
				f.hosts[i].network.setStoreUnreachable(true)
			}
			return func() {
				for _, h := range f.hosts {
					h.network.setStoreUnreachable(false)
				}
			}
		}},
		"the store is slow": {bound: expectedEvacuationTime, startFault: func(f *fleet) func() {
			faults := objectstore.Faults{}
			faults.Latency.Mean = unit.Duration(200 * time.Millisecond)
			f.store.SetFaults(faults)
			return func() { f.store.SetFaults(objectstore.Faults{}) }
		}},
		"the history is dropped": {bound: expectedEvacuationTime, startFault: func(f *fleet) func() {
			f.store.SetFaults(objectstore.Faults{DeafWatches: true})
			time.AfterFunc(100*time.Millisecond, func() {
				f.store.SetFaults(objectstore.Faults{})
				f.store.Compact()
			})
			return func() {}
		}},
	} {
		t.Run(name, func(t *testing.T) { c.run(t) })
	}
}

func withEvacuationBound(s *Settings) { s.Discovery.EvacuateWithin = unit.Duration(evacuationBound) }

func (c evacuationCase) run(t *testing.T) {
	runFleet(t, &fleet{linkMbps: c.linkMbps, settings: withEvacuationBound}, func(t *testing.T, f *fleet) {
		is := is.New(t)
		callers := f.startCallers()
		defer callers.stop()
		domain := fleetDomains[0]
		time.Sleep(time.Second)
		end := c.startFault(f)
		f.write(platform.KindEvacuations, domain, struct{}{})
		acknowledged := time.Now()
		time.Sleep(4 * time.Second)
		end()
		time.Sleep(time.Second)
		f.store.Remove(platform.KindEvacuations, domain)
		ended := time.Now()
		is.Equal(f.countDomainRequests(domain, acknowledged.Add(c.bound+inFlightMargin), ended), 0)
		time.Sleep(3 * time.Second)
		is.True(f.countDomainRequests(domain, ended.Add(time.Second), time.Now()) > 50) // it is used again
		callers.stop()
		if failed := callers.failed(); failed > callers.sent()/100 {
			t.Errorf("%d of %d requests failed", failed, callers.sent())
		}
	})
}

// Hosts that start while two domains are evacuated send no requests to either of them.
func TestHostsThatStartKnowOfEvacuations(t *testing.T) {
	runFleet(t, &fleet{settings: withEvacuationBound}, func(t *testing.T, f *fleet) {
		is := is.New(t)
		callers := f.startCallers()
		defer callers.stop()
		for _, domain := range fleetDomains[:2] {
			f.write(platform.KindEvacuations, domain, struct{}{})
		}
		acknowledged := time.Now()
		time.Sleep(2 * time.Second)
		f.killAll()
		time.Sleep(2 * time.Second)
		for _, domain := range fleetDomains[:2] {
			is.Equal(f.countDomainRequests(domain, acknowledged.Add(expectedEvacuationTime), time.Now()), 0)
		}
		is.True(f.countDomainRequests(fleetDomains[2], time.Now().Add(-time.Second), time.Now()) > 50)
	})
}

// An evacuation is removed and written again, and overwritten by another writer: it is in force as long as its object
// exists.
func TestEvacuationThatIsTakenBackAndSetAgain(t *testing.T) {
	runFleet(t, &fleet{settings: withEvacuationBound}, func(t *testing.T, f *fleet) {
		is := is.New(t)
		callers := f.startCallers()
		defer callers.stop()
		domain := fleetDomains[0]
		for range 3 {
			f.write(platform.KindEvacuations, domain, struct{}{})
			set := time.Now()
			time.Sleep(1500 * time.Millisecond)
			f.write(platform.KindEvacuations, domain, "of another writer")
			time.Sleep(500 * time.Millisecond)
			is.Equal(f.countDomainRequests(domain, set.Add(expectedEvacuationTime), time.Now()), 0)
			f.store.Remove(platform.KindEvacuations, domain)
			time.Sleep(time.Second)
		}
	})
}

// If all domains are evacuated, requests are refused at once with status 503.
func TestAllDomainsEvacuated(t *testing.T) {
	runFleet(t, &fleet{settings: withEvacuationBound}, func(t *testing.T, f *fleet) {
		is := is.New(t)
		for _, domain := range fleetDomains {
			f.write(platform.KindEvacuations, domain, struct{}{})
		}
		time.Sleep(expectedEvacuationTime)
		for i, path := range []string{pathQuery, pathSingle} {
			began := time.Now()
			is.Equal(f.send(i, http.MethodGet, path+"x", "r"), http.StatusServiceUnavailable)
			is.True(time.Since(began) < 10*time.Millisecond)
		}
		is.Equal(f.send(2, http.MethodPost, pathOnce+"x", "r"), http.StatusServiceUnavailable)
	})
}

// callerLoad sends requests at a fixed rate and counts the response statuses.
type callerLoad struct {
	fleet *fleet
	once  sync.Once
	end   chan struct{}
	done  sync.WaitGroup

	mu       sync.Mutex
	statuses map[int]int
}

// startCallers starts callers that send requests of all kinds to all hosts in turn.
func (f *fleet) startCallers() *callerLoad { return f.startCallersEvery(requestInterval) }

func (f *fleet) startCallersEvery(pause time.Duration) *callerLoad {
	a := &callerLoad{fleet: f, end: make(chan struct{}), statuses: map[int]int{}}
	a.done.Go(func() {
		tick := time.NewTicker(pause)
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-tick.C:
				a.done.Go(func() { a.send(n) })
			case <-a.end:
				return
			}
		}
	})
	return a
}

func (a *callerLoad) send(n int) {
	kinds := []struct{ method, path string }{{http.MethodGet, pathQuery}, {http.MethodGet, pathSingle}, {http.MethodPost, pathOnce}}
	kind := kinds[n%len(kinds)]
	status := a.fleet.send(n%fleetHosts, kind.method, kind.path+"x", fmt.Sprintf("a%d", n))
	a.mu.Lock()
	defer a.mu.Unlock()
	a.statuses[status]++
}

// stop stops sending and waits for the responses.
func (a *callerLoad) stop() {
	a.once.Do(func() { close(a.end) })
	a.done.Wait()
}

// sent returns the number of completed requests, including failed ones.
func (a *callerLoad) sent() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, count := range a.statuses {
		n += count
	}
	return n
}

// failed returns the number of requests that did not get status 200.
func (a *callerLoad) failed() int { return a.sent() - a.succeeded() }

// succeeded returns the number of requests that got status 200.
func (a *callerLoad) succeeded() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.statuses[http.StatusOK]
}
