package gatewayhost

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Twelve times most queries of a site failed for seconds: each time 25 to 30 of its 30
// targets had ended within half a second, came back, and ended again as soon as they took
// work. The load was flat, and the targets of the other service stood. The hosts' lines
// showed who was blamed: 1,030 targets set aside in 12 s, and no request. One query ended
// every target that began to run it. Its host took each broken connection for a bad target and
// repeated the query at the next one; its caller sent it again, to other hosts that knew
// nothing of it. After it had ended three targets, and four seconds more for all hosts to learn of
// it, it still reached targets with 12 and with 8 more attempts of its caller, where three are
// allowed, and ended 120 and 145 targets.
func TestRequestThatEndsItsTargetsIsKeptFromThem(t *testing.T) {
	for name, c := range map[string]crashCase{
		"query":                   {path: pathQuery},
		"query over helpers":      {path: pathQuery, links: narrowButOne},
		"query, targets keep ids": {path: pathQuery, keepID: true},
		"single request":          {path: pathSingle},
		"request that runs once":  {path: pathOnce, method: http.MethodPost},
		"all hosts are killed":    {path: pathQuery, killAll: true},
		"caller with patience":    {path: pathQuery, pause: 10 * time.Second},
	} {
		t.Run(name, func(t *testing.T) { c.run(t) })
	}
}

// narrowButOne gives all hosts but the first a narrow link, so that the first gathers for them.
func narrowButOne(host int) float64 {
	if host == 0 {
		return 1000
	}
	return 4
}

// crashCase is a way in which a request that ends its targets comes.
type crashCase struct {
	path    string
	method  string // GET if empty
	links   func(host int) float64
	keepID  bool          // targets are back under the id that they had
	killAll bool          // all hosts are killed at the same moment, between two copies
	pause   time.Duration // between two copies; 0: 4.4 s, just after the targets are back
}

// Bounds of what a request that ends its targets may still do.
const (
	copies      = 12
	learnWithin = 4 * time.Second // since it ended the third target
	mostLate    = 3               // attempts of its caller that reach targets later than that
	mostEnded   = 3 * fleetShards // targets that end under it, all copies together
	leastServed = 0.95            // share of the other requests that are answered
)

func (c crashCase) run(t *testing.T) {
	runFleet(t, &fleet{links: c.links, keepID: c.keepID}, func(t *testing.T, f *fleet) {
		is := is.New(t)
		others := f.startOthers()
		c.send(f)
		served, sent := others()
		late := f.lateCopies()
		t.Logf("%d targets ended, %d late copies reached targets, %d of %d other requests served", len(f.crashes), len(late), served, sent)
		is.True(len(f.crashes) >= 3)                          // it does end targets
		is.True(len(late) <= mostLate)                        // it is kept from them
		is.True(len(f.crashes) <= mostEnded)                  // it ends few
		is.True(float64(served) >= leastServed*float64(sent)) // the others hardly notice
	})
}

// send sends the copies, each to another host, and once more after a failure, as callers do.
func (c crashCase) send(f *fleet) {
	method, pause := c.method, c.pause
	if method == "" {
		method = http.MethodGet
	}
	if pause == 0 {
		pause = downFor + 1400*time.Millisecond
	}
	for i := range copies {
		if c.killAll && i == copies/2 {
			f.killAll()
			time.Sleep(learnWithin)
		}
		host := 2 * i % fleetHosts
		got := f.ask(host, method, c.path+poison, fmt.Sprintf("copy-%d", i))
		if got != http.StatusOK && method == http.MethodGet {
			f.ask((host+1)%fleetHosts, method, c.path+poison, fmt.Sprintf("copy-%d-again", i))
		}
		time.Sleep(pause)
	}
}

// lateCopies returns the attempts of the caller that reached targets too late after the third
// had ended.
func (f *fleet) lateCopies() map[string]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	late := map[string]bool{}
	if len(f.crashes) < 3 {
		return late
	}
	from := f.crashes[2].at.Add(learnWithin)
	for _, a := range f.arrivals {
		if a.at.After(from) {
			late[a.request] = true
		}
	}
	return late
}

// startOthers lets other callers ask all hosts in turn. The function that it returns ends
// that, and tells how many of their requests were served.
func (f *fleet) startOthers() func() (served, sent int) {
	const every = 40 * time.Millisecond
	var ok atomic.Int64
	var asking sync.WaitGroup
	stop := make(chan struct{})
	asked := make(chan int, 1)
	go func() {
		tick := time.NewTicker(every)
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				asked <- n
				return
			case <-tick.C:
			}
			path := []string{pathQuery, pathSingle}[n%2]
			asking.Go(func() {
				if f.ask(n%fleetHosts, http.MethodGet, path+fmt.Sprint(n), fmt.Sprintf("other-%d", n)) == http.StatusOK {
					ok.Add(1)
				}
			})
		}
	}()
	return func() (int, int) {
		close(stop)
		sent := <-asked
		asking.Wait()
		return int(ok.Load()), sent
	}
}
