//go:build review

package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Load and planned work of the case "move".
const (
	moveAddRoute  = 1 * time.Second        // the operator adds the second route
	moveBegin     = 9 * time.Second        // the operator moves it to other shards
	moveJoinAfter = 300 * time.Millisecond // a host is added so long after that
	moveSteady    = 8 * time.Second        // after the move: more than configApplyMs plus stableWindowMs
	moveLength    = 30 * time.Second
	moveInterval  = 3 * time.Millisecond // between two requests of the second route
	moveFirst     = 4                    // the first route gets one request for so many of the second one
	uploadTime    = 2 * time.Second      // that a consumer takes to send a body
	uploadChunks  = 10
	uploadChunk   = 8 << 10 // bytes; the whole body is below maxBodyBytes
)

var moveZones = []string{"recife-a", "recife-b", "fortaleza-a"}

// shardsOf returns the services of an index that is cut into n shards.
func shardsOf(prefix string, n int) []string {
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("%s~%d", prefix, i+1))
	}
	return names
}

// moveConfig is a version of the manifest: a first route over ten shards, and a second one over the given
// shards, if there are any.
func moveConfig(version int, second []string) map[string]any {
	first := shardsOf("vitrine", 10)
	services := []any{}
	for _, name := range slices.Concat(first, shardsOf("entregas", 15)) {
		services = append(services, map[string]any{"name": name, "healthCheckPath": "/healthz", "maxConnections": 100})
	}
	route := func(name, prefix string, shards []string) any {
		return map[string]any{
			"name": name, "hostname": deskHost, "pathPrefix": prefix, "type": "idempotent", "timeoutMs": 5000,
			"targetLatencyMs": 3000, "priority": 1, "shards": shards, "maxAttempts": 2, "topK": 20, "minSuccessShare": 0.89,
		}
	}
	routes := []any{route("r-1", "/titles/", first)}
	if len(second) > 0 {
		routes = append(routes, route("r-2", "/covers/", second))
	}
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// writeConfig writes a version as the operator does, and reports whether the store acknowledged it.
func writeConfig(f *fleet, r *record, config map[string]any) bool {
	body, err := json.Marshal(map[string]any{"meta": map[string]any{"name": "main"}, "spec": config})
	if err != nil {
		return false
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+f.store+"/api/objects/config/main", bytes.NewReader(body))
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	r.note("version %v is acknowledged: %v", config["version"], resp.StatusCode == http.StatusOK)
	return resp.StatusCode == http.StatusOK
}

// upload sends a query with a body in chunks, over a new connection, and reads the answer.
func upload(address, id string) (a answer) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(6 * time.Second))
	_, err = fmt.Fprintf(conn, "POST /covers/search HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 5000\r\nTransfer-Encoding: chunked\r\n\r\n", deskHost, id)
	for range uploadChunks {
		time.Sleep(uploadTime / uploadChunks)
		if err == nil {
			_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", uploadChunk, bytes.Repeat([]byte("x"), uploadChunk))
		}
	}
	if err == nil {
		_, err = io.WriteString(conn, "0\r\n\r\n")
	}
	if err != nil {
		return answer{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return answer{err: err, read: true}
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return answer{err: err, read: true}
	}
	return answer{status: resp.StatusCode, read: true}
}

// tally counts the requests of a route that were served, refused by status, or ended without an answer.
type tally map[int]int

func (t tally) share() float64 {
	all := 0
	for _, n := range t {
		all += n
	}
	if all == 0 {
		return 0
	}
	return float64(t[http.StatusOK]) / float64(all)
}

func (t tally) count() (n int) {
	for _, k := range t {
		n += k
	}
	return n
}

// runMove sends queries on two routes over shards; those of the second one, which was added later, carry a
// body that takes two seconds to send. The planned work: the second route is moved to the shards of the first
// one, and a host is added at that time. Rule CONFIG.
func runMove(f *fleet, r *record, trouble bool) (bool, error) {
	objects := []object{{"config", "main", moveConfig(7, nil)}}
	for _, name := range slices.Concat(shardsOf("vitrine", 10), shardsOf("entregas", 15)) {
		for i, zone := range moveZones {
			t := &target{id: fmt.Sprintf("i-%s-%d", name, i+1), service: name, zone: zone, slots: 30, queue: 10, work: 3 * time.Millisecond, log: newRecord()}
			if err := t.listen(); err != nil {
				return false, err
			}
			objects = append(objects, t.registration())
		}
	}
	if err := f.startStore(objects); err != nil {
		return false, err
	}
	zones := []string{"recife-a", "recife-a", "recife-a", "recife-b", "recife-b", "recife-b", "fortaleza-a", "fortaleza-a"}
	hosts, err := f.startHosts(zones...)
	if err != nil {
		return false, err
	}
	r.note("%d hosts ready", len(hosts))

	var mu sync.Mutex // guards the variables below
	serving := slices.Clone(hosts)
	steady := map[string]map[string]tally{"r-1": {}, "r-2": {}} // by route and host
	begin := time.Now()
	note := func(route string, h *host, sentAt time.Time, id string, a answer) {
		text := ""
		if a.err != nil {
			text = a.err.Error()
		}
		r.add(event{Kind: "answered", ID: id, Status: a.status, Target: h.name, Text: text})
		if since := sentAt.Sub(begin); since < moveBegin+moveSteady {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		if steady[route][h.name] == nil {
			steady[route][h.name] = tally{}
		}
		steady[route][h.name][a.status]++
	}
	time.AfterFunc(moveAddRoute, func() { writeConfig(f, r, moveConfig(8, shardsOf("entregas", 15))) })
	if trouble {
		time.AfterFunc(moveBegin, func() { writeConfig(f, r, moveConfig(9, shardsOf("vitrine", 10))) })
		time.AfterFunc(moveBegin+moveJoinAfter, func() {
			h, err := f.addHost(hosts, "fortaleza-a")
			if err != nil {
				r.note("no host was added: %s", err)
				return
			}
			r.note("%s is added", h.name)
			if await(10*time.Second, h.ready) == nil {
				mu.Lock()
				serving = append(serving, h)
				mu.Unlock()
			}
		})
	}
	var pending sync.WaitGroup
	for n := 0; time.Since(begin) < moveLength; n++ {
		mu.Lock()
		hostCount := len(serving)
		h := serving[n%hostCount]
		mu.Unlock()
		if n/hostCount%moveFirst == 0 {
			pending.Go(func() {
				sentAt, id := time.Now(), fmt.Sprintf("t%06d", n)
				note("r-1", h, sentAt, id, send(h.callers, http.MethodGet, deskHost, "/titles/x", id, 5*time.Second, ""))
			})
		}
		if time.Since(begin) > moveAddRoute+3*time.Second {
			pending.Go(func() {
				sentAt, id := time.Now(), fmt.Sprintf("c%06d", n)
				r.add(event{Kind: "sent", ID: id, Text: "to " + h.name})
				note("r-2", h, sentAt, id, upload(h.callers, id))
			})
		}
		time.Sleep(time.Until(begin.Add(time.Duration(n+1) * moveInterval)))
	}
	pending.Wait()
	all := map[string]tally{"r-1": {}, "r-2": {}}
	for _, route := range []string{"r-1", "r-2"} {
		for _, name := range slices.Sorted(maps.Keys(steady[route])) {
			t := steady[route][name]
			r.note("steady state, %s at %s: served %.3f, by status %v (0: ended without an answer)", route, name, t.share(), t)
			for status, n := range t {
				all[route][status] += n
			}
		}
	}
	r.note("steady state, all machines: first route served %.3f of %d, route added later %.3f of %d", all["r-1"].share(), all["r-1"].count(), all["r-2"].share(), all["r-2"].count())
	return all["r-2"].count() >= 20 && all["r-2"].share() < all["r-1"].share()/4, nil
}
