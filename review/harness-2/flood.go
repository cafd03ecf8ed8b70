//go:build review

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["flood"] = flood }

// Doses of the case flood.
const (
	memoryMB        = 284 // memoryMb: the platform kills a process that exceeds it
	keptConnections = 12
	floodStep       = 10 * time.Millisecond
	floodStepBytes  = 625_000 // 62.5 MB a second: half of a machine's link of 1,000 Mbit/s
	floodMaxBytes   = 400 << 20
	faultyBudgetMs  = 4000 // time budget of ledger-read
	lostMost        = 3    // LOST: more than three times
)

// flood: one faulty backend of one service answers one request by bytes that are not a response. Consumers of
// another service, whose backends are sound, hold kept connections to the same host.
func flood(s *site, trouble bool) (string, error) {
	if err := s.addHosts(3, true); err != nil {
		return "", err
	}
	var misbehaved atomic.Bool
	faulty := func(b *backend, c net.Conn, r *http.Request, body []byte) bool {
		if !trouble || misbehaved.Swap(true) {
			return soundAfter(100*time.Millisecond)(b, c, r, body)
		}
		return s.sendNoResponse(b, c, r.Header.Get("X-Request-Id"))
	}
	for i := range 3 {
		if _, err := s.newBackend(fmt.Sprintf("desk-%d", i), "desk", zone(i), 8, soundAfter(400*time.Millisecond)); err != nil {
			return "", err
		}
		if _, err := s.newBackend(fmt.Sprintf("other-%d", i), "other", zone(i), 8, faulty); err != nil {
			return "", err
		}
	}
	route := func(name, prefix, service string) map[string]any {
		return map[string]any{"name": name, "hostname": "desk.example", "pathPrefix": prefix, "service": service, "type": "non_idempotent",
			"timeoutMs": faultyBudgetMs, "targetLatencyMs": 600, "maxAttempts": 2, "priority": 0}
	}
	s.store.put("config", "main", map[string]any{
		"version": 1, "limits": limits,
		"routes": []any{route("desk", "/r/", "desk"), route("other", "/o/", "other")},
		"services": []any{
			map[string]any{"name": "desk", "healthCheckPath": "/healthz", "maxConnections": 100},
			map[string]any{"name": "other", "healthCheckPath": "/healthz", "maxConnections": 100}},
	})
	if err := s.startAll(); err != nil {
		return "", err
	}
	time.Sleep(settleTime)
	h := s.hosts[0]
	until := time.Now().Add(8 * time.Second)
	var lost atomic.Int32
	var wg sync.WaitGroup
	for n := range keptConnections {
		wg.Go(func() { s.keepAsking(h, n, until, &lost) })
	}
	wg.Go(func() { s.limitMemory(h, until) })
	time.Sleep(time.Second)
	wg.Go(func() {
		status, err := s.post(nil, h, "/o/", "bad")
		s.note("bad: status %d, %v", status, err)
	})
	wg.Wait()
	if n := lost.Load(); n > lostMost {
		return fmt.Sprintf("%d requests from kept connections were passed on to sound backends, and their connections were closed without an answer", n), nil
	}
	return "", nil
}

// sendNoResponse sends bytes without a line end until the connection is closed.
func (s *site) sendNoResponse(b *backend, c net.Conn, id string) bool {
	s.note("backend %s runs %s and sends bytes that are not a response", b.id, id)
	chunk, sent := bytes.Repeat([]byte("x"), floodStepBytes), 0
	for tick := time.NewTicker(floodStep); sent < floodMaxBytes; <-tick.C {
		n, err := c.Write(chunk)
		sent += n
		if err != nil {
			s.note("backend %s has sent %d bytes: %v", b.id, sent, err)
			return false
		}
	}
	return false
}

// limitMemory kills the host's process once it exceeds the memory of its machine, as the platform does.
func (s *site) limitMemory(h *host, until time.Time) {
	most := 0
	for ; time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		mb := residentMB(h.process.Process.Pid)
		most = max(most, mb)
		if mb > memoryMB && h.running() {
			s.note("host %s has %d MB and is killed, as the limit is %d MB", h.name, mb, memoryMB)
			_ = h.process.Process.Kill()
			return
		}
	}
	s.note("host %s had %d MB at most", h.name, most)
}

// residentMB returns the resident memory of a process in MB.
func residentMB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(f[1])
			return kb / 1024
		}
	}
	return 0
}

// keptConn is a consumer's connection that is used for many requests.
type keptConn struct {
	net.Conn
	reader *bufio.Reader
}

// keepAsking sends one request after another on a kept connection, and counts it if the connection is closed
// without an answer to a request that a backend has run.
func (s *site) keepAsking(h *host, n int, until time.Time, lost *atomic.Int32) {
	c, err := net.Dial("tcp", h.callers)
	if err != nil {
		s.note("consumer %d: %v", n, err)
		return
	}
	defer func() { _ = c.Close() }()
	kept := &keptConn{c, bufio.NewReader(c)}
	for i := 0; time.Now().Before(until); i++ {
		id := fmt.Sprintf("c%d-%d", n, i)
		status, err := s.post(kept, h, "/r/", id)
		if err == nil {
			s.note("%s: status %d", id, status)
			continue
		}
		ran := s.runsOf(id)
		s.note("%s: request %d of its connection, which was closed without an answer: %v; runs: %d", id, i+1, err, ran)
		if i > 0 && ran > 0 {
			lost.Add(1)
		}
		return
	}
}

// post sends one request, on a connection of its own if kept is nil, and returns the status.
func (s *site) post(kept *keptConn, h *host, prefix, id string) (status int, err error) {
	if kept == nil {
		c, err := net.Dial("tcp", h.callers)
		if err != nil {
			return 0, err
		}
		defer func() { _ = c.Close() }()
		kept = &keptConn{c, bufio.NewReader(c)}
	}
	if _, err := fmt.Fprintf(kept, "POST %s%s HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: 2\r\n\r\nhi", prefix, id, id, faultyBudgetMs); err != nil {
		return 0, err
	}
	_ = kept.SetReadDeadline(time.Now().Add((faultyBudgetMs + 2000) * time.Millisecond))
	resp, err := http.ReadResponse(kept.reader, nil)
	if err != nil {
		return 0, err
	}
	_, err = io.ReadAll(resp.Body)
	return resp.StatusCode, err
}
