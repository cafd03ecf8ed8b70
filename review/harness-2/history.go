//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

func init() { cases["history"] = history }

// Doses and bounds of the case history, as the pages name them.
const (
	manyRoutes    = 1400 // four steps of big_config
	shardsOfRoute = 25   // yard-catalogue and supplier-portal
	stormLength   = 2 * time.Second
	stormGap      = 80 * time.Millisecond
	freezeTime    = 4 * time.Second // node_freeze of one machine
	applyBound    = 3 * time.Second // configApplyMs
	touchWindow   = 4 * time.Second // stableWindowMs
	watchedFor    = 24 * time.Second
)

// manifest returns a manifest in which the route /r/ goes to a service, beside many idle routes.
func manifest(version int, service string) map[string]any {
	routes := []any{map[string]any{"name": "moved", "hostname": "desk.example", "pathPrefix": "/r/", "service": service, "type": "idempotent",
		"timeoutMs": 2000, "targetLatencyMs": 400, "maxAttempts": 2, "priority": 1}}
	var shards []string
	services := []any{}
	for _, name := range []string{"desk-old", "desk-new"} {
		services = append(services, map[string]any{"name": name, "healthCheckPath": "/healthz", "maxConnections": 100})
	}
	for i := range shardsOfRoute {
		name := fmt.Sprintf("catalogue~%d", i+1)
		shards = append(shards, name)
		services = append(services, map[string]any{"name": name, "healthCheckPath": "/healthz", "maxConnections": 26})
	}
	for i := range manyRoutes {
		routes = append(routes, map[string]any{"name": fmt.Sprintf("idle-route-%04d", i), "hostname": fmt.Sprintf("idle%04d.example", i),
			"pathPrefix": fmt.Sprintf("/idle%04d/section/", i), "shards": shards, "type": "idempotent",
			"timeoutMs": 2000, "targetLatencyMs": 400, "maxAttempts": 2, "priority": 2, "topK": 20, "minSuccessShare": 0.89})
	}
	return map[string]any{"version": version, "limits": limits, "routes": routes, "services": services}
}

// history: manifests come in quick succession while one machine stands still, the one that watches the store.
func history(s *site, trouble bool) (string, error) {
	if err := s.addHosts(3, true); err != nil {
		return "", err
	}
	for _, service := range []string{"desk-old", "desk-new"} {
		for i := range 3 {
			if _, err := s.newBackend(fmt.Sprintf("%s-%d", service, i), service, zone(i), 8, soundAfter(5*time.Millisecond)); err != nil {
				return "", err
			}
		}
	}
	raw, err := json.Marshal(manifest(1, "desk-old"))
	if err != nil {
		return "", err
	}
	s.note("a manifest has %d bytes", len(raw))
	s.store.put("config", "main", manifest(1, "desk-old"))
	if err := s.startAll(); err != nil {
		return "", err
	}
	time.Sleep(settleTime)
	frozen := s.watchingHost()
	if frozen == nil {
		return "", fmt.Errorf("no host watches the store")
	}
	began := time.Now()
	if trouble {
		s.note("host %s, which watches the store, is stopped", frozen.name)
		_ = frozen.process.Process.Signal(syscall.SIGSTOP)
		time.AfterFunc(freezeTime, func() {
			_ = frozen.process.Process.Signal(syscall.SIGCONT)
			s.note("host %s runs again", frozen.name)
		})
	}
	version := 1
	for ; time.Since(began) < stormLength-stormGap; time.Sleep(stormGap) {
		version++
		s.store.put("config", "main", manifest(version, "desk-old"))
	}
	version++
	s.store.put("config", "main", manifest(version, "desk-new"))
	acked := time.Now()
	s.note("version %d is acknowledged, the last one: it moves the route from desk-old to desk-new", version)
	old := map[string]int{}
	for i := 0; time.Since(began) < watchedFor; i++ {
		h := s.hosts[i%3]
		if trouble && h == frozen && time.Since(began) < freezeTime+touchWindow {
			continue // not in touch
		}
		id, sentAt := fmt.Sprintf("id%d", i), time.Now()
		status, service := s.get(h, id)
		judged := sentAt.After(acked.Add(applyBound))
		s.note("%s at %s: %d, run by %q, sent %.2f s after the ack, judged %t", id, h.name, status, service, sentAt.Sub(acked).Seconds(), judged)
		if judged && service == "desk-old" {
			old[h.name]++
		}
		time.Sleep(150 * time.Millisecond)
	}
	if len(old) > 0 {
		return fmt.Sprintf("requests that were sent later than %s after the ack of version %d were run by the old service, by machines in touch: %v", applyBound, version, old), nil
	}
	return "", nil
}

// watchingHost returns the host with the most watch calls in its metrics.
func (s *site) watchingHost() *host {
	var watching *host
	most := 0
	for _, h := range s.hosts {
		n := h.watchCalls()
		s.note("host %s has made %d watch calls", h.name, n)
		if n > most {
			watching, most = h, n
		}
	}
	return watching
}

// watchCalls returns how many watch calls to the store the host has made.
func (h *host) watchCalls() int {
	resp, err := http.Get("http://" + h.ip + ":9464/metrics")
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0
	}
	n := 0.0
	for _, line := range strings.Split(string(text), "\n") {
		var value float64
		if strings.HasPrefix(line, "rhubarbwood_platform_calls_total{") && strings.Contains(line, `verb="watch"`) {
			if _, err := fmt.Sscan(line[strings.LastIndex(line, " ")+1:], &value); err == nil {
				n += value
			}
		}
	}
	return int(n)
}

// get sends one request on a connection of its own, and returns the status and the service that ran it.
func (s *site) get(h *host, id string) (status int, service string) {
	c, err := net.DialTimeout("tcp", h.callers, time.Second)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	fmt.Fprintf(c, "GET /r/x HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 2000\r\n\r\n", id)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, ""
	}
	_, _ = io.ReadAll(resp.Body)
	for _, name := range []string{"desk-old", "desk-new"} {
		if strings.HasPrefix(resp.Header.Get("X-Response-Signature"), "sig."+name) {
			service = name
		}
	}
	return resp.StatusCode, service
}
