package soak

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/standin/platformtarget"
	"rhubarbwood.example/rhubarbwood/platform"
)

// Bounds of the promises that hold in calm times.
const (
	inForceWithin = 3 * time.Second        // a change of the configuration, on every host
	drainWithin   = 3 * time.Second        // a leaving target gets no new work
	backSlack     = 250 * time.Millisecond // requests that cross the change
	mostPoison    = 3                      // copies that reach targets in the calm: what hosts need to learn, if all that knew were lost
	servedWithin  = calmTime * 3 / 4       // from the start of the calm until all hosts serve again
	leastServed   = 0.5                    // share of the requests at each host that are then answered; nearly all are
	fewRequests   = 10                     // at a host, of which no share is told
)

// Violation is a promise that was not kept.
type Violation struct {
	Promise string
	Detail  string
}

// String names the promise and what was seen.
func (v Violation) String() string { return v.Promise + ": " + v.Detail }

// evidence is what callers and targets have seen in one run.
type evidence struct {
	exchanges []exchange
	runs      map[string][]ran // by request
	changes   []change
	drained   map[string]time.Time // by target
	reserving []string             // targets of reservations
	poison    []arrival
	ends      []string             // of hosts that were not told to
	domains   map[string]string    // by target
	away      string               // failure domain outside the home of versions
	evacuated map[string]time.Time // failure domains that still are, since when
	cold      map[string]int       // most requests in a second while it was cold, by target
	calmFrom  time.Time
	calmTo    time.Time
}

// ran is one run of a request at a target.
type ran struct {
	target  string
	service string
	began   time.Time
}

// gather takes what the targets of a site have run.
func gather(s *site, exchanges []exchange, calmFrom, calmTo time.Time) *evidence {
	e := &evidence{exchanges: exchanges, runs: map[string][]ran{}, drained: map[string]time.Time{}, calmFrom: calmFrom, calmTo: calmTo}
	s.mu.Lock()
	e.changes, e.poison = slices.Clone(s.changes), slices.Clone(s.arrivals)
	s.mu.Unlock()
	for _, p := range s.hosts {
		e.ends = append(e.ends, p.untold()...)
	}
	for _, a := range e.poison {
		e.runs[a.request] = append(e.runs[a.request], ran{a.target, "", a.at})
	}
	for _, t := range s.targets {
		if left := t.leftAt(); !left.IsZero() {
			e.drained[t.id] = left
		}
		if t.service == serviceOnce {
			e.reserving = append(e.reserving, t.id)
		}
		for _, r := range t.runs() {
			e.runs[r.RequestID] = append(e.runs[r.RequestID], ran{t.id, t.service, r.Began})
		}
	}
	e.gatherPlacement(s)
	return e
}

// check returns the promises that were not kept.
func (e *evidence) check() []Violation {
	var all []Violation
	for _, x := range e.exchanges {
		all = append(all, e.checkOne(x)...)
	}
	all = append(all, e.checkDrain()...)
	all = append(all, e.checkPoison()...)
	all = append(all, e.checkServed()...)
	all = append(all, e.checkPlacement()...)
	for _, end := range e.ends {
		all = append(all, Violation{"a host ends only if it is told to", end})
	}
	return append(all, e.checkNeverBack()...)
}

func (e *evidence) checkOne(x exchange) []Violation {
	var all []Violation
	broken := func(promise, format string, args ...any) {
		all = append(all, Violation{promise, fmt.Sprintf("request %s at %s: ", x.id, x.from) + fmt.Sprintf(format, args...)})
	}
	runs := e.runs[x.id]
	if x.kind == kindReserve && len(runs) > 1 {
		broken("at most once", "ran %d times, first at %s, then at %s", len(runs), runs[0].target, runs[1].target)
	}
	if promisesNotRun(x.status) && len(runs) > 0 {
		broken("refused as not run", "status %d, ran at %s", x.status, runs[0].target)
	}
	if x.status >= 200 && x.status < 300 {
		if problem := e.wrongAnswer(x); problem != "" {
			broken("whole and true answer", "%s", problem)
		}
	}
	if x.sent.IsZero() || x.sent.Before(e.calmFrom) {
		return all
	}
	if x.status == 0 && x.written && len(runs) > 0 {
		broken("a planned stop cuts off nothing", "sent %s into the calm, ran and got no answer: %v", x.sent.Sub(e.calmFrom), x.err)
	}
	if x.kind == kindVersion && len(runs) > 0 {
		if v := e.newest(x.sent.Add(-inForceWithin)); versionOf(runs[0]) < v {
			broken("in force within the bound", "sent %s into the calm, handled by version %d, want at least %d", x.sent.Sub(e.calmFrom), versionOf(runs[0]), v)
		}
	}
	return all
}

// promisesNotRun reports whether a status says that the request did not run and
// never will.
func promisesNotRun(status int) bool {
	return slices.Contains([]int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}, status)
}

// wrongAnswer returns what is wrong with a successful answer, "" if nothing is.
func (e *evidence) wrongAnswer(x exchange) string {
	if x.kind == kindQuery {
		return wrongMerge(x)
	}
	for _, r := range e.runs[x.id] {
		if x.signed == platformtarget.Signature(r.service, x.id) && bytes.Equal(x.body, platformtarget.Body(r.service, x.id, records)) {
			return ""
		}
	}
	return fmt.Sprintf("signature %q and %d bytes are no target's answer to it", x.signed, len(x.body))
}

// wrongMerge checks the parts of a merged answer, its coverage and its records.
func wrongMerge(x exchange) string {
	var all [][]byte
	named := map[string]bool{}
	for _, p := range x.parts {
		service, id, _ := strings.Cut(p, ".")
		if id != x.id || named[service] || !strings.HasPrefix(service, "lists-") {
			return fmt.Sprintf("part %q is foreign or named twice", p)
		}
		named[service] = true
		body := platformtarget.Body(service, x.id, records)
		for chunk := range slices.Chunk(body, len(body)/records) {
			all = append(all, chunk)
		}
	}
	if len(named)+x.missing != shards || 2*len(named) < shards {
		return fmt.Sprintf("%d parts and %d missing of %d", len(named), x.missing, shards)
	}
	slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
	if !bytes.Equal(x.body, bytes.Join(all[:min(topK, len(all))], nil)) {
		return "the body is not the greatest records of its parts"
	}
	return ""
}

// newest returns the newest version that was in the store at a time.
func (e *evidence) newest(at time.Time) int {
	v := 0
	for _, c := range e.changes {
		if !c.at.After(at) {
			v = c.version
		}
	}
	return v
}

func versionOf(r ran) int {
	var v int
	if _, err := fmt.Sscanf(r.service, "desk-%d", &v); err != nil {
		return 0 // another service
	}
	return v
}

func (e *evidence) checkDrain() []Violation {
	var all []Violation
	for _, x := range e.exchanges {
		for _, r := range e.runs[x.id] {
			left, ok := e.drained[r.target]
			if ok && r.began.After(left.Add(drainWithin)) {
				all = append(all, Violation{"a leaving target gets no new work", fmt.Sprintf("request %s ran at %s %s after it left", x.id, r.target, r.began.Sub(left))})
			}
		}
	}
	return all
}

// checkPoison holds that a request that ends its targets is kept from them.
func (e *evidence) checkPoison() []Violation {
	late := map[string]bool{}
	for _, a := range e.poison {
		if a.at.After(e.calmFrom) {
			late[a.request] = true
		}
	}
	if len(late) <= mostPoison {
		return nil
	}
	return []Violation{{"a request that ends its targets is kept from them", fmt.Sprintf("%d copies reached targets in the calm", len(late))}}
}

// takesReservations reports whether a target of reservations is left in the calm: one that has not left, outside the failure
// domains that are evacuated.
func (e *evidence) takesReservations() bool {
	for _, id := range e.reserving {
		_, left := e.drained[id]
		_, evacuated := e.evacuated[e.domains[id]]
		if !left && !evacuated {
			return true
		}
	}
	return false
}

// checkServed holds that hosts serve again once all trouble is over, but for what no target is left for.
func (e *evidence) checkServed() []Violation {
	sent, served := map[int]int{}, map[int]int{}
	reserves := e.takesReservations()
	for _, x := range e.exchanges {
		if x.kind == kindPoison || x.kind == kindReserve && !reserves || x.sent.Before(e.calmFrom.Add(servedWithin)) || x.sent.After(e.calmTo) {
			continue
		}
		sent[x.host]++
		if x.status >= 200 && x.status < 300 {
			served[x.host]++
		}
	}
	var all []Violation
	for host, n := range sent {
		if n >= fewRequests && float64(served[host]) < leastServed*float64(n) {
			all = append(all, Violation{"served again in the calm", fmt.Sprintf("host %d answered %d of %d requests", host, served[host], n)})
		}
	}
	return all
}

// checkNeverBack holds the versions that one run of a host used in order.
func (e *evidence) checkNeverBack() []Violation {
	byHost := map[string][]exchange{}
	for _, x := range e.exchanges {
		if x.kind == kindVersion && len(e.runs[x.id]) > 0 && x.from != "" {
			byHost[x.from] = append(byHost[x.from], x)
		}
	}
	var all []Violation
	for host, xs := range byHost {
		for _, x := range xs {
			used := versionOf(e.runs[x.id][0])
			for _, before := range xs {
				if r := e.runs[before.id][0]; versionOf(r) > used && r.began.Add(backSlack).Before(x.sent) {
					all = append(all, Violation{"never back", fmt.Sprintf("%s used version %d for %s, %d for %s", host, versionOf(r), before.id, used, x.id)})
					break
				}
			}
		}
	}
	return all
}

// signatures returns those of the parts of a merged answer.
func signatures(h http.Header) []string {
	var all []string
	for _, line := range h.Values(platform.HeaderParts) {
		for part := range strings.SplitSeq(line, ",") {
			all = append(all, strings.TrimSpace(part))
		}
	}
	return all
}
