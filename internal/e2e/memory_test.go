package e2e

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/standin"
	"rhubarbwood.example/rhubarbwood/internal/standin/objectstore"
	"rhubarbwood.example/rhubarbwood/internal/standin/platformtarget"
	"rhubarbwood.example/rhubarbwood/internal/unit"
	"rhubarbwood.example/rhubarbwood/platform"
)

const (
	// memoryLimitMB is the memory of the gateway under test.
	memoryLimitMB = 128
	// floodTime is how long targets answer without end.
	floodTime = 6 * time.Second
	// floodTargets is the number of targets that do, floodCallers that of callers that send to them all the while.
	floodTargets, floodCallers = 36, 72
	// floodBytes is how much a target sends at most over one connection.
	floodBytes = 64 << 20
	floodPath  = "/flood/"
)

// floodSite is a gateway process with sound targets and with targets whose responses have no end.
type floodSite struct {
	store   *objectstore.Store
	gateway *process
	callers string       // address
	targets map[int]bool // ports of the endless targets
	log     syncBuffer
}

func startFloodSite(t *testing.T) *floodSite {
	t.Helper()
	s := &floodSite{store: objectstore.New(objectstore.DefaultConfig()), targets: map[int]bool{}}
	server := objectstore.NewServer(s.store)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(ln) }()
	sound, err := platformtarget.StartSite(s.store, []string{"d"}, standin.Latency{Mean: unit.Duration(5 * time.Millisecond)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = sound.Stop(context.Background())
		_ = server.Shutdown(context.Background())
	})
	responses := standin.EndlessResponses("X-Response-Signature: sig\r\n")
	for i := range floodTargets {
		s.addEndlessTarget(t, i, responses[i%len(responses)])
	}
	s.addFloodRoute(t)
	s.startGateway(t, ln.Addr().String())
	return s
}

// addEndlessTarget adds a target of a service of its own. It answers each second request soundly, and sends the
// endless response after that, where no request is waiting.
func (s *floodSite) addEndlessTarget(t *testing.T, i int, e standin.EndlessResponse) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	s.targets[ln.Addr().(*net.TCPAddr).Port] = true
	var requests atomic.Int64
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				if requests.Add(1)%2 == 0 {
					_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nX-Response-Signature: sig\r\nContent-Length: 2\r\n\r\nok", platform.HeaderRequestID, req.Header.Get(platform.HeaderRequestID))
					time.Sleep(10 * time.Millisecond)
				}
				e.Send(c, floodBytes)
				_, _ = io.Copy(io.Discard, r) // until the gateway closes the connection
			}()
		}
	}()
	id := fmt.Sprintf("endless-%d", i)
	target := platformtarget.New(platformtarget.Config{ID: id, Service: id, Slots: 40})
	s.apply(t, platform.KindTargets, id, target.Registration(ln.Addr().String(), "d"))
}

// addFloodRoute adds a route to each of the endless targets' services.
func (s *floodSite) addFloodRoute(t *testing.T) {
	t.Helper()
	config := platform.Config{Version: 2, Services: []platform.Service{{Name: "gifts", HealthCheckPath: "/healthz", MaxConnections: 100}}}
	route := platform.Route{Hostname: platformtarget.SiteHost, Type: platform.TypeNonIdempotent, TimeoutMs: 4000, TargetLatencyMs: 600, MaxAttempts: 2}
	gifts := route
	gifts.Name, gifts.PathPrefix, gifts.Service = "gifts", platformtarget.SiteSinglePath, "gifts"
	config.Routes = append(config.Routes, gifts)
	for i := range floodTargets {
		name := fmt.Sprintf("endless-%d", i)
		route.Name, route.PathPrefix, route.Service = name, fmt.Sprintf("%s%d/", floodPath, i), name
		config.Routes = append(config.Routes, route)
		config.Services = append(config.Services, platform.Service{Name: name, HealthCheckPath: "/healthz", MaxConnections: 100})
	}
	s.apply(t, platform.KindConfig, platform.NameConfig, config)
}

func (s *floodSite) apply(t *testing.T, kind, name string, value any) {
	t.Helper()
	text, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	s.store.Apply(kind, name, text)
}

func (s *floodSite) startGateway(t *testing.T, store string) {
	t.Helper()
	addresses := freeAddresses(t, 4)
	s.callers = addresses[0]
	settings := fmt.Sprintf(`{"host": "h", "failure_domain": "d", "memory": {"limit_mb": %d},
		"addresses": {"callers": %q, "readiness": %q, "metrics": %q, "peers": %q},
		"gateway": {"fleet_size": 1}, "platform": {"addresses": [%q]}, "member": {"seeds": [%q]}}`,
		memoryLimitMB, addresses[0], addresses[1], addresses[2], addresses[3], store, addresses[3])
	file := t.TempDir() + "/gateway.jsonc"
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	s.gateway = start(t, "gateway", "gateway", "--settings", file)
	go func() {
		for line := range s.gateway.lines {
			_, _ = io.WriteString(&s.log, line+"\n")
		}
	}()
	waitUntil(t, "the gateway is ready", func() bool {
		status, _ := s.post(http.DefaultClient, platformtarget.SiteSinglePath+"x", "ready")
		return status == http.StatusOK
	})
}

// freeAddresses returns addresses on which nothing listens.
func freeAddresses(t *testing.T, n int) []string {
	t.Helper()
	var addresses []string
	for range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = ln.Close() }()
		addresses = append(addresses, ln.Addr().String())
	}
	return addresses
}

// post sends a request that may run once, and returns the status; 0: no response.
func (s *floodSite) post(client *http.Client, path, id string) (status int, took time.Duration) {
	req, err := http.NewRequest(http.MethodPost, "http://"+s.callers+path, strings.NewReader("body"))
	if err != nil {
		return 0, 0
	}
	req.Host = platformtarget.SiteHost
	req.Header.Set(platform.HeaderRequestID, id)
	req.Header.Set(platform.HeaderDeadline, "4000")
	began := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return 0, time.Since(began)
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, time.Since(began)
	}
	return resp.StatusCode, time.Since(began)
}

// memory returns the resident memory of the gateway and the bytes that its connections to endless targets have
// received and not read.
func (s *floodSite) memory(t *testing.T) (resident, unread int) {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.gateway.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(f[1]) // the kernel writes a number
			resident = kb << 10
		}
	}
	text, err = os.ReadFile("/proc/net/tcp")
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		f := strings.Fields(line) // number, local address, remote address, state, send and receive queue
		if len(f) < 5 || !s.targets[hexAfterColon(f[2])] {
			continue
		}
		unread += hexAfterColon(f[4])
	}
	return resident, unread
}

func hexAfterColon(field string) int {
	_, text, _ := strings.Cut(field, ":")
	n, _ := strconv.ParseInt(text, 16, 64) // the head of the table is no number, and counts as 0
	return int(n)
}

// Targets that answered with bytes without end made a host exceed its memory, so that it was ended with all requests
// in flight. Here dozens of them do so at once, in each part of a response, and on idle connections too.
func TestEndlessResponsesOfDozensOfTargets(t *testing.T) {
	is := is.New(t)
	s := startFloodSite(t)
	until := time.Now().Add(floodTime)
	var wg sync.WaitGroup
	var sound, bad, soundLost, badHeld atomic.Int64
	for i := range floodCallers {
		wg.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for n := 0; time.Now().Before(until); n++ {
				status, took := s.post(client, fmt.Sprintf("%s%d/x", floodPath, (i+n)%floodTargets), fmt.Sprintf("bad-%d-%d", i, n))
				bad.Add(1)
				if status == 0 || took > 2*time.Second {
					badHeld.Add(1) // its answer is due at once; half of the deadline is for a busy machine
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	for i := range 12 {
		wg.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for n := 0; time.Now().Before(until); n++ {
				status, _ := s.post(client, platformtarget.SiteSinglePath+"x", fmt.Sprintf("sound-%d-%d", i, n))
				sound.Add(1)
				if status != http.StatusOK && status != http.StatusServiceUnavailable { // the latter where the sound targets are busy
					soundLost.Add(1)
				}
			}
		})
	}
	most, mostUnread := 0, 0
	for time.Now().Before(until) {
		resident, unread := s.memory(t)
		most, mostUnread = max(most, resident+unread), max(mostUnread, unread)
		time.Sleep(20 * time.Millisecond)
	}
	wg.Wait()
	t.Logf("%d requests to endless targets, %d to sound ones; at most %d MB, of them %d KB unread at once", bad.Load(), sound.Load(), most>>20, mostUnread>>10)
	is.True(most < memoryLimitMB<<20)
	is.Equal(soundLost.Load(), int64(0))
	is.Equal(badHeld.Load(), int64(0))
	is.True(strings.Contains(s.log.String(), `"name":"response_over_limit"`))
	is.Equal(s.gateway.stop(t), 0)
}
