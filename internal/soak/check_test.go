package soak

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/standin/platformtarget"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func atSecond(n float64) time.Time { return testStart.Add(time.Duration(n * float64(time.Second))) }

// answeredReservation returns observations of one answered reservation, with the calm phase from
// the start.
func answeredReservation() (*observations, *exchange) {
	e := &observations{
		executions:    map[string][]execution{"r": {{"gifts-t0", reserveService, atSecond(1)}}},
		drainedAt:     map[string]time.Time{},
		configChanges: []configChange{{1, atSecond(-10)}, {2, atSecond(0)}},
		calmStart:     atSecond(0),
		exchanges:     []exchange{{requestID: "r", kind: kindReserve, incarnation: "host-0/1", sent: atSecond(1), ended: atSecond(1.1), requestWritten: true, status: http.StatusOK}},
	}
	x := &e.exchanges[0]
	x.signature = platformtarget.Signature(reserveService, "r")
	x.body = platformtarget.Body(reserveService, "r", recordsPerAnswer)
	return e, x
}

// poisonCopies returns arrivals of n copies of a poison request at two targets each.
func poisonCopies(at time.Time, n int) []poisonArrival {
	var all []poisonArrival
	for i := range n {
		all = append(all, poisonArrival{fmt.Sprint(i), "lists-0-t0", at}, poisonArrival{fmt.Sprint(i), "lists-1-t0", at})
	}
	return all
}

// A host must answer at least half of the requests sent to it at the end of the calm phase.
// Earlier requests, poison requests and small numbers of requests don't count.
func TestUnrecoveredHostIsFound(t *testing.T) {
	late := maxRecoveryTime + time.Millisecond
	cases := map[string]struct {
		at        time.Duration
		kind      requestKind
		n, served int
		evacuated string
		want      string
	}{
		"half":       {late, kindQuery, 20, 10, "", ""},
		"less":       {late, kindQuery, 20, 9, "", "served again in the calm"},
		"few":        {late, kindQuery, minRequestsForShare - 1, 0, "", ""},
		"earlier":    {maxRecoveryTime - time.Millisecond, kindQuery, 20, 0, "", ""},
		"the poison": {late, kindPoison, 20, 0, "", ""},

		"a target of reservations has left, one stands":             {late, kindReserve, 20, 9, "domain-0", "served again in the calm"},
		"a target of reservations has left, the other is evacuated": {late, kindReserve, 20, 0, "domain-1", ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := &observations{calmStart: atSecond(0), calmEnd: atSecond(0).Add(calmDuration)}
			e.reserveTargets, e.drainedAt = []string{"left", "stands"}, map[string]time.Time{"left": atSecond(0)}
			e.domainOf = map[string]string{"left": "domain-0", "stands": "domain-1"}
			e.evacuatedSince = map[string]time.Time{c.evacuated: atSecond(0)}
			for i := range c.n {
				x := exchange{requestID: fmt.Sprint(i), kind: c.kind, sent: atSecond(0).Add(c.at), status: http.StatusBadGateway}
				if i < c.served {
					x.status = http.StatusOK
				}
				e.exchanges = append(e.exchanges, x)
			}
			found := e.checkRecovery()
			is := is.New(t)
			is.Equal(len(found) > 0, c.want != "")
		})
	}
}

// answeredQuery returns observations of one answered query.
func answeredQuery(services ...string) (*observations, *exchange) {
	e, x := answeredReservation()
	x.kind, x.signature, x.missingParts = kindQuery, "", shardCount-len(services)
	var all [][]byte
	for _, s := range services {
		x.partSignatures = append(x.partSignatures, platformtarget.Signature(s, "r"))
		for c := range slices.Chunk(platformtarget.Body(s, "r", recordsPerAnswer), 16) {
			all = append(all, c)
		}
	}
	slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
	x.body = bytes.Join(all[:topK], nil)
	return e, x
}

// Each guarantee is broken in turn and the violation must be found; runs that keep the guarantees
// must yield no violation.
func TestEachBrokenPromiseIsFound(t *testing.T) {
	cases := map[string]struct {
		damage func(e *observations, x *exchange)
		want   string
	}{
		"nothing": {func(*observations, *exchange) {}, ""},
		"ran twice": {func(e *observations, _ *exchange) {
			e.executions["r"] = append(e.executions["r"], execution{"gifts-t1", reserveService, atSecond(2)})
		}, "at most once"},
		"refused and ran": {func(_ *observations, x *exchange) { x.status = http.StatusServiceUnavailable }, "refused as not run"},
		"cut answer":      {func(_ *observations, x *exchange) { x.body = x.body[:len(x.body)-1] }, "whole and true answer"},
		"another's answer": {func(_ *observations, x *exchange) {
			x.body = platformtarget.Body(reserveService, "q", recordsPerAnswer)
		}, "whole and true answer"},
		"no signature":               {func(_ *observations, x *exchange) { x.signature = "" }, "whole and true answer"},
		"no answer in the calm":      {func(_ *observations, x *exchange) { x.status = 0 }, "a planned stop cuts off nothing"},
		"no answer in the storm":     {func(e *observations, x *exchange) { x.status = 0; e.calmStart = atSecond(5) }, ""},
		"never sent":                 {func(_ *observations, x *exchange) { x.status, x.requestWritten = 0, false }, ""},
		"new work for a leaving one": {func(e *observations, _ *exchange) { e.drainedAt["gifts-t0"] = atSecond(-3) }, "a leaving target gets no new work"},
		"work as it leaves":          {func(e *observations, _ *exchange) { e.drainedAt["gifts-t0"] = atSecond(-1) }, ""},
		"a host that ends":           {func(e *observations, _ *exchange) { e.unexpectedExits = []string{"host-0/1"} }, "a host ends only if it is told to"},
		"three copies in the calm":   {func(e *observations, _ *exchange) { e.poisonArrivals = poisonCopies(atSecond(1), 3) }, ""},
		"four copies in the storm":   {func(e *observations, _ *exchange) { e.poisonArrivals = poisonCopies(atSecond(-1), 4) }, ""},
		"four copies in the calm": {func(e *observations, _ *exchange) { e.poisonArrivals = poisonCopies(atSecond(1), 4) },
			"a request that ends its targets is kept from them"},
		"a copy refused that came to a target": {func(e *observations, x *exchange) {
			x.kind, x.status = kindPoison, http.StatusServiceUnavailable
			e.executions["r"] = []execution{{"lists-0-t0", "", atSecond(1)}}
		}, "refused as not run"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e, x := answeredReservation()
			c.damage(e, x)
			expectViolation(t, e, c.want)
		})
	}
}

func TestWrongMergesAreFound(t *testing.T) {
	cases := map[string]struct {
		damage func(x *exchange)
		want   string
	}{
		"three parts of four":         {func(*exchange) {}, ""},
		"coverage overstated":         {func(x *exchange) { x.missingParts = 0 }, "whole and true answer"},
		"a part twice":                {func(x *exchange) { x.partSignatures[1], x.missingParts = x.partSignatures[0], 1 }, "whole and true answer"},
		"a part of another request":   {func(x *exchange) { x.partSignatures[0] = platformtarget.Signature("lists-0", "q") }, "whole and true answer"},
		"records in the wrong order":  {func(x *exchange) { x.body = append(x.body[16:], x.body[:16]...) }, "whole and true answer"},
		"too few parts for a success": {func(x *exchange) { x.partSignatures, x.missingParts = x.partSignatures[:1], 3 }, "whole and true answer"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e, x := answeredQuery("lists-0", "lists-1", "lists-3")
			c.damage(x)
			expectViolation(t, e, c.want)
		})
	}
}

func TestVersionsAreHeldToTheBoundAndNeverGoBack(t *testing.T) {
	two := func(first, then int, sent time.Time) *observations {
		e, _ := answeredReservation()
		e.exchanges, e.executions = nil, map[string][]execution{}
		for i, v := range []int{first, then} {
			id := string(rune('a' + i))
			at := sent.Add(time.Duration(i) * time.Second)
			e.exchanges = append(e.exchanges, exchange{requestID: id, kind: kindVersion, incarnation: "host-0/1", sent: at})
			e.executions[id] = []execution{{"t", versionService(v), at}}
		}
		return e
	}
	expectViolation(t, two(1, 2, atSecond(1)), "")
	expectViolation(t, two(2, 1, atSecond(1)), "never back")
	expectViolation(t, two(2, 2, atSecond(5)), "")
	expectViolation(t, two(1, 2, atSecond(5)), "in force within the bound")
}

// expectViolation checks that the first violation is of the given guarantee, or that there is none
// if it is empty.
func expectViolation(t *testing.T, e *observations, promise string) {
	t.Helper()
	is := is.New(t)
	found := e.check()
	if promise == "" {
		is.Equal(len(found), 0)
		return
	}
	is.True(len(found) > 0)
	is.Equal(found[0].Promise, promise)
}
