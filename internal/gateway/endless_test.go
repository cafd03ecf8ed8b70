package gateway_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/discovery"
	"rhubarbwood.example/rhubarbwood/internal/routing"
	"rhubarbwood.example/rhubarbwood/internal/standin"
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
