//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Load and disruption of the case "stop".
const (
	stopGrace        = 6 * time.Second         // graceS: SIGKILL follows SIGTERM after it
	stopGap          = 1300 * time.Millisecond // gap_s of roll_term
	stopBegin        = 5 * time.Second         // first SIGTERM; more than stableWindowMs after the start of the load
	stopRestart      = 300 * time.Millisecond  // until a host that has ended is started again
	stopLength       = 16 * time.Second
	stopInterval     = 30 * time.Millisecond   // between two requests
	stopWork         = 1800 * time.Millisecond // of a back end for one request, of a time budget of 5 s
	stopExcusedUntil = 3 * time.Second         // requests sent later after the SIGTERM are not excused
)

// balancer forwards new connections as the platform does: it checks each host once a second, takes one out
// after two misses, and uses all hosts of the zone if fewer than half of them are in rotation.
type balancer struct {
	mu     sync.Mutex
	hosts  []*host
	misses map[*host]int
}

func (b *balancer) check(h *host) {
	for {
		begin := time.Now()
		ready := h.ready()
		b.mu.Lock()
		b.misses[h]++
		if ready {
			b.misses[h] = 0
		}
		b.mu.Unlock()
		time.Sleep(time.Until(begin.Add(time.Second)))
	}
}

func (b *balancer) choose() *host {
	b.mu.Lock()
	defer b.mu.Unlock()
	var in []*host
	for _, h := range b.hosts {
		if b.misses[h] < 2 {
			in = append(in, h)
		}
	}
	if 2*len(in) < len(b.hosts) {
		in = b.hosts
	}
	return in[rand.IntN(len(in))]
}

// stopInTurn stops a host as the platform does and starts it again.
func stopInTurn(f *fleet, r *record, h *host) {
	r.note("%s gets SIGTERM", h.name)
	_ = h.cmd.Process.Signal(syscall.SIGTERM)
	ended := make(chan struct{})
	go func() {
		_ = h.cmd.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(stopGrace):
		_ = h.cmd.Process.Kill()
		<-ended
	}
	r.note("%s has ended", h.name)
	time.Sleep(stopRestart)
	if err := f.startHost(h); err != nil {
		r.note("%s was not started again: %s", h.name, err)
	}
}

// runStop sends requests that take a back end 1.8 s. The disruption: the three hosts of the zone are stopped
// and started in turn. Rule LOST, around planned work.
func runStop(f *fleet, r *record, trouble bool) (bool, error) {
	const service = "reservas"
	objects := []object{deskConfig(service, 2, 2500)}
	for i := range 3 {
		t := &target{id: fmt.Sprintf("i-%d", i+1), service: service, zone: "recife-a", slots: 60, queue: 10, work: stopWork, log: r}
		if err := t.listen(); err != nil {
			return false, err
		}
		objects = append(objects, t.registration())
	}
	if err := f.startStore(objects); err != nil {
		return false, err
	}
	hosts, err := f.startHosts("recife-a", "recife-a", "recife-a")
	if err != nil {
		return false, err
	}
	r.note("%d hosts ready", len(hosts))
	b := &balancer{hosts: hosts, misses: map[*host]int{}}
	for _, h := range hosts {
		go b.check(h)
	}

	var mu sync.Mutex // guards the variables below
	stoppedAt := map[*host]time.Time{}
	lost, statuses := 0, map[int]int{}

	begin := time.Now()
	for i, h := range hosts {
		if !trouble {
			break
		}
		time.AfterFunc(stopBegin+time.Duration(i)*stopGap, func() {
			mu.Lock()
			stoppedAt[h] = time.Now()
			mu.Unlock()
			stopInTurn(f, r, h)
		})
	}
	var pending sync.WaitGroup
	for n := 0; time.Since(begin) < stopLength; n++ {
		id, h := fmt.Sprintf("q%06d", n), b.choose()
		pending.Go(func() {
			sentAt := time.Now()
			r.add(event{Kind: "sent", ID: id, Text: "to " + h.name})
			a := send(h.callers, http.MethodPost, deskHost, "/desk/x", id, 5*time.Second, "reserve")
			text := ""
			if a.err != nil {
				text = a.err.Error()
			}
			r.add(event{Kind: "answered", ID: id, Status: a.status, Text: text})
			mu.Lock()
			defer mu.Unlock()
			statuses[a.status]++
			stop, planned := stoppedAt[h]
			passedOn := r.countByID("run")[id] > 0
			if a.status != 0 || !passedOn || !planned || time.Since(stop) > stopGrace+time.Second {
				return
			}
			after, end := sentAt.Sub(stop), time.Since(stop)
			excused := after <= stopExcusedUntil && end >= stopGrace*5/6
			r.note("%s: sent %.2f s after the SIGTERM of %s, passed on to a back end, connection ended without an answer %.2f s after the SIGTERM; excused: %v",
				id, after.Seconds(), h.name, end.Seconds(), excused)
			if !excused {
				lost++
			}
		})
		time.Sleep(time.Until(begin.Add(time.Duration(n+1) * stopInterval)))
	}
	pending.Wait()
	r.note("answers by status %v (0: none); lost: %d", statuses, lost)
	return lost > 0, nil
}
