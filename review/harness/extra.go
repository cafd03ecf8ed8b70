//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Load and dose of the case "extra".
const (
	extraRequestsPerS = 600
	extraLength       = 58 * time.Second
	extraPeriod       = 7 * time.Second // a disruption begins this often
	extraOn           = 5 * time.Second // and lasts so long
	extraMillionths   = 30_000          // x = 0.03
)

// deskConfig is a manifest with one route to one service, whose requests must not run twice.
func deskConfig(service string, maxAttempts, objectiveMs int) object {
	return object{"config", "main", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-1", "hostname": deskHost, "pathPrefix": "/desk/", "type": "non_idempotent", "timeoutMs": 5000,
			"targetLatencyMs": objectiveMs, "priority": 2, "service": service, "maxAttempts": maxAttempts,
		}},
		"services": []any{map[string]any{"name": service, "healthCheckPath": "/healthz", "maxConnections": 52}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}}
}

// runExtra sends requests that must not run twice at about three quarters of what two back ends can run, so that
// some find the back end full and are rejected with X-Not-Executed. The disruption: one back end of the two
// sends 3 in 100 of its responses a second time, late. Rules TWICE and REFUSED.
func runExtra(f *fleet, r *record, trouble bool) (bool, error) {
	const service = "reservas"
	objects := []object{deskConfig(service, 1, 500)}
	var targets []*target
	for i, zone := range []string{"recife-a", "recife-b"} {
		t := &target{id: fmt.Sprintf("i-%d", i+1), service: service, zone: zone, slots: 2, queue: 2, work: 5 * time.Millisecond, log: r}
		if err := t.listen(); err != nil {
			return false, err
		}
		targets = append(targets, t)
		objects = append(objects, t.registration())
	}
	if err := f.startStore(objects); err != nil {
		return false, err
	}
	hosts, err := f.startHosts("recife-a", "recife-a", "recife-a", "recife-b", "recife-b", "recife-b", "fortaleza-a", "fortaleza-a", "natal-a")
	if err != nil {
		return false, err
	}
	r.note("%d hosts ready", len(hosts))

	var mu sync.Mutex
	answers := map[string]int{}
	var pending sync.WaitGroup
	begin, next := time.Now(), time.Duration(0)
	for n := 0; next < extraLength; n++ {
		on := trouble && next%extraPeriod > extraPeriod-extraOn
		if on != (targets[0].extraShare.Load() > 0) {
			targets[0].extraShare.Store(map[bool]uint64{true: extraMillionths}[on])
			r.note("%s sends some of its responses a second time, late: %v", targets[0].id, on)
		}
		id, h := fmt.Sprintf("q%06d", n), hosts[n%len(hosts)]
		pending.Go(func() {
			r.add(event{Kind: "sent", ID: id, Text: "to " + h.name})
			a := send(h.callers, http.MethodPost, deskHost, "/desk/x", id, 5*time.Second, "reserve")
			r.add(event{Kind: "answered", ID: id, Status: a.status})
			mu.Lock()
			defer mu.Unlock()
			answers[id] = a.status
		})
		next += time.Duration(rand.ExpFloat64() * float64(time.Second) / extraRequestsPerS)
		time.Sleep(time.Until(begin.Add(next)))
	}
	pending.Wait()
	time.Sleep(time.Second) // a request that was refused must not run later

	runs := r.countByID("run")
	twice, refused, statuses := 0, 0, map[int]int{}
	for id, status := range answers {
		statuses[status]++
		if runs[id] > 1 {
			twice++
			r.note("TWICE: %s ran %d times, answered %d", id, runs[id], status)
		}
		if promisesNotRun(status) && runs[id] > 0 {
			refused++
			r.note("REFUSED: %s was answered %d and ran", id, status)
		}
	}
	r.note("%d requests, answers by status %v, %d responses sent a second time; ran twice: %d, refused and run: %d",
		len(answers), statuses, targets[0].extras.Load(), twice, refused)
	return twice+refused > 0, nil
}

// promisesNotRun reports whether a status promises that the request has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
