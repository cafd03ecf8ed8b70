//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["leave"] = leave }

// Doses of the case leave.
const (
	consumers   = 20
	leaveShare  = 5 // one in five leaves, as give_up with share = 0.2
	leaveAfter  = 100 * time.Millisecond
	requestWork = 400 * time.Millisecond
)

// leave: a share of the consumers gives up early and closes its sending side. What comes back on the
// connection is read to its end.
func leave(s *site, trouble bool) (string, error) {
	if err := s.addHosts(3, true); err != nil {
		return "", err
	}
	for i := range 3 {
		if _, err := s.newBackend(fmt.Sprintf("desk-%d", i), "desk", zone(i), 8, soundAfter(requestWork)); err != nil {
			return "", err
		}
	}
	s.store.put("config", "main", map[string]any{
		"version": 1, "limits": limits,
		"routes": []any{map[string]any{"name": "reserve", "hostname": "desk.example", "pathPrefix": "/r/", "service": "desk", "type": "non_idempotent",
			"timeoutMs": 4000, "targetLatencyMs": 600, "maxAttempts": 2, "priority": 0}},
		"services": []any{map[string]any{"name": "desk", "healthCheckPath": "/healthz", "maxConnections": 100}},
	})
	if err := s.startAll(); err != nil {
		return "", err
	}
	time.Sleep(settleTime)
	var wg sync.WaitGroup
	var mu sync.Mutex
	unsigned := 0
	for i := range consumers {
		wg.Go(func() {
			ok := s.reserve(s.hosts[i%len(s.hosts)], fmt.Sprintf("id%d", i), trouble && i%leaveShare == 0)
			mu.Lock()
			defer mu.Unlock()
			if !ok {
				unsigned++
			}
		})
	}
	wg.Wait()
	if unsigned > 0 {
		return fmt.Sprintf("%d consumers got a success (2xx) without a backend's signature", unsigned), nil
	}
	return "", nil
}

// reserve sends one request that may run once at most, and reports whether the answer is anything but a success
// without a signature.
func (s *site) reserve(h *host, id string, leaves bool) bool {
	c, err := net.Dial("tcp", h.callers)
	if err != nil {
		s.note("%s: %v", id, err)
		return true
	}
	defer func() { _ = c.Close() }()
	fmt.Fprintf(c, "POST /r/%s HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 4000\r\nContent-Length: 2\r\n\r\nhi", id, id)
	s.note("%s: sent to %s, leaves early: %t", id, h.name, leaves)
	if leaves {
		time.Sleep(leaveAfter)
		_ = c.(*net.TCPConn).CloseWrite()
		s.note("%s: the consumer has closed its sending side", id)
	}
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		s.note("%s: no answer: %v", id, err)
		return true
	}
	body, err := io.ReadAll(resp.Body)
	signature := resp.Header.Get("X-Response-Signature")
	s.note("%s: answered %d, signature %q, body %q, %v", id, resp.StatusCode, signature, body, err)
	return resp.StatusCode/100 != 2 || signature != ""
}
