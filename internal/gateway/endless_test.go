package gateway_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/discovery"
	"rhubarbwood.example/rhubarbwood/internal/membudget"
	"rhubarbwood.example/rhubarbwood/internal/routing"
	"rhubarbwood.example/rhubarbwood/internal/standin"
	"rhubarbwood.example/rhubarbwood/platform"
)

// endlessService has one target, whose responses have no end.
const endlessService = "s8"

// endlessBytes is how much an endless response sends at most, so that a test of code without limits ends.
const endlessBytes = 32 << 20

// endlessHeader has the header lines of a response of which only the body has no end.
const endlessHeader = "X-Response-Signature: sig\r\n"

// addEndlessTarget adds the only target of endlessService, with a route whose requests may run once. Each of its
// responses is e.
func (s *site) addEndlessTarget(e standin.EndlessResponse) {
	ln, _ := s.network.Listen("endless:80") // in-memory listeners never fail
	var mu sync.Mutex
	var conns []net.Conn
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, c)
			mu.Unlock()
			go func() {
				reader := bufio.NewReader(c)
				if _, err := http.ReadRequest(reader); err == nil {
					e.Send(c, endlessBytes)
				}
				_, _ = io.Copy(io.Discard, reader) // until the gateway closes the connection
			}()
		}
	}()
	stop := s.stop
	s.stop = func() {
		stop()
		_ = ln.Close()
		mu.Lock()
		defer mu.Unlock()
		for _, c := range conns {
			_ = c.Close()
		}
	}
	s.register(discovery.Target{ID: "endless", Service: endlessService, Address: "endless:80", Domain: domain, Slots: 40})
	s.configure(2, append(s.defaultRoutes(1), routing.Route{
		Name: "endless", Host: caseHost, Prefix: "/endless/", Timeout: timeout, Objective: objective,
		MaxAttempts: 1, Destinations: []routing.Destination{{Service: endlessService, Weight: 1}},
	})...)
}

// A target that sent bytes without end was read until the deadline of the request, and what it had sent was kept.
func TestRequestWithAnEndlessResponseIsAnsweredAtOnce(t *testing.T) {
	for _, e := range standin.EndlessResponses(endlessHeader) {
		t.Run(e.Name, func(t *testing.T) {
			var log bytes.Buffer
			run(t, options{log: &log}, func(t *testing.T, s *site) {
				is := is.New(t)
				s.addEndlessTarget(e)
				a := s.send(http.MethodPost, "/endless/x", "r1", "")
				is.Equal(a.status, http.StatusBadGateway) // the request may have run
				is.Equal(a.header.Get("Retry-After"), "")
				is.True(a.took < targetLatency)
				is.Equal(s.get("/one/x", "r2").status, http.StatusOK)
			})
			is := is.New(t)
			if e.InHead {
				is.True(strings.Contains(log.String(), `"name":"response_over_limit","request":"r1","target":"endless","service":"s8","limit":"head_`))
			}
		})
	}
}

// Dozens of responses without end, each within the limit of one, held more than the memory of the host together.
func TestResponsesOfManyEndlessTargetsAreLimitedTogether(t *testing.T) {
	const bad, sound = 60, 20
	for _, e := range standin.EndlessResponses(endlessHeader) {
		t.Run(e.Name, func(t *testing.T) {
			memory := membudget.New(membudget.Config{LimitMB: 64}, nil)
			run(t, options{memory: memory}, func(t *testing.T, s *site) {
				is := is.New(t)
				s.addEndlessTarget(e)
				var wg sync.WaitGroup
				for i := range bad {
					wg.Go(func() {
						a := s.send(http.MethodPost, "/endless/x", fmt.Sprintf("bad%d", i), "")
						is.True(a.status == http.StatusBadGateway || a.status == http.StatusServiceUnavailable) // the latter if no connection was free
						is.True(a.took < objective)
					})
				}
				for i := range sound {
					wg.Go(func() {
						time.Sleep(time.Duration(i) * time.Millisecond)
						is.Equal(s.send(http.MethodPost, "/once/x", fmt.Sprintf("sound%d", i), "").status, http.StatusOK)
					})
				}
				wg.Wait()
				if e.Name == "body without length" || e.Name == "chunks" {
					is.True(memory.Targets.Stats().GivenUp > 0) // the limits of one don't suffice
				}
				is.True(memory.Targets.Stats().Peak <= memory.Targets.Stats().Max)
				time.Sleep(timeout)
				is.Equal(memory.Targets.Stats().Held, int64(0)) // all is released
			})
		})
	}
}

// callerWithEndlessBody sends a request over a connection of its own, with a body without end of at most
// endlessBytes, and returns the status of the response; 0: none.
func (s *site) callerWithEndlessBody(id, framing, block string) (status int, closes bool) {
	c, err := s.network.Dial(s.t.Context(), "tcp", callersAddress)
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	go func() {
		_, err := fmt.Fprintf(c, "POST /once/x HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s\r\n\r\n", caseHost, platform.HeaderRequestID, id, framing)
		for sent := 0; err == nil && sent < endlessBytes; sent += len(block) {
			_, err = io.WriteString(c, block)
		}
	}()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, false
	}
	return resp.StatusCode, resp.Close
}

// Dozens of callers whose requests have bodies without end held more than the memory of the host together, each
// within the limit of one.
func TestRequestBodiesOfManyCallersAreLimitedTogether(t *testing.T) {
	const bad, sound, maxBody = 60, 20, 4 << 20
	block := strings.Repeat("x", 1<<10)
	for name, body := range map[string]struct {
		framing, block string
		status         []int
	}{
		"chunks":              {"Transfer-Encoding: chunked", "400\r\n" + block + "\r\n", []int{http.StatusRequestEntityTooLarge, http.StatusServiceUnavailable}},
		"long length":         {"Content-Length: 1000000000000", block, []int{http.StatusRequestEntityTooLarge}},
		"length at the limit": {fmt.Sprintf("Content-Length: %d", maxBody), block, []int{http.StatusOK, http.StatusServiceUnavailable}},
		"trailer":             {"Transfer-Encoding: chunked", "0\r\n" + strings.Repeat("a: b\r\n", 1<<10), []int{http.StatusBadRequest}},
	} {
		t.Run(name, func(t *testing.T) {
			memory := membudget.New(membudget.Config{LimitMB: 64}, nil)
			run(t, options{memory: memory}, func(t *testing.T, s *site) {
				is := is.New(t)
				s.limitBodies(maxBody)
				var wg sync.WaitGroup
				began := time.Now()
				for i := range bad {
					wg.Go(func() {
						status, closes := s.callerWithEndlessBody(fmt.Sprintf("bad%d", i), body.framing, body.block)
						is.True(slices.Contains(body.status, status))
						is.True(closes || status == http.StatusOK)
					})
				}
				for i := range sound {
					wg.Go(func() {
						is.Equal(s.send(http.MethodPost, "/once/x", fmt.Sprintf("sound%d", i), "body").status, http.StatusOK)
					})
				}
				wg.Wait()
				is.True(time.Since(began) < timeout)
				if name == "chunks" || name == "length at the limit" {
					is.True(memory.Callers.Stats().GivenUp > 0) // the limits of one don't suffice
				}
				is.True(memory.Callers.Stats().Peak <= memory.Callers.Stats().Max)
				time.Sleep(time.Second)
				is.Equal(memory.Callers.Stats().Held, int64(0)) // all is released
			})
		})
	}
}
