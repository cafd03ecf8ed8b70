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

// Limits of the guarantees that apply in the calm phase.
const (
	maxConfigDelay      = 3 * time.Second        // until a configuration change is in force on every host
	maxDrainDelay       = 3 * time.Second        // until a leaving target receives no new requests
	versionOrderSlack   = 250 * time.Millisecond // tolerance for requests in flight during a version change
	maxPoisonInCalm     = 3                      // copies that reach targets in the calm phase: as many as hosts need to detect poison again after losing all records of it
	maxRecoveryTime     = calmDuration * 3 / 4   // from the start of the calm phase until all hosts serve again
	minAnsweredShare    = 0.5                    // of the requests to each host after that; a healthy host answers nearly all
	minRequestsForShare = 10                     // a host with fewer requests is not checked
)

// Violation is a guarantee that was broken in a run.
type Violation struct {
	Promise string
	Detail  string
}

// String returns the guarantee and the observation that contradicts it.
func (v Violation) String() string { return v.Promise + ": " + v.Detail }

// observations are what callers and targets observed in one run.
type observations struct {
	exchanges       []exchange
	executions      map[string][]execution // by request
	configChanges   []configChange
	drainedAt       map[string]time.Time // by target
	reserveTargets  []string             // IDs of the targets that run reservations
	poisonArrivals  []poisonArrival
	unexpectedExits []string             // host runs that ended without a stop signal
	domainOf        map[string]string    // failure domain by target
	awayDomain      string               // failure domain outside the home region of the version route
	evacuatedSince  map[string]time.Time // start of the current evacuations, by failure domain
	maxColdRequests map[string]int       // maximum number of requests in a second while cold, by target
	calmStart       time.Time
	calmEnd         time.Time
}

// execution is one run of a request at a target.
type execution struct {
	target  string
	service string
	began   time.Time
}

// collect collects the observations of a run from the site and the exchanges.
func collect(s *site, exchanges []exchange, calmStart, calmEnd time.Time) *observations {
	e := &observations{exchanges: exchanges, executions: map[string][]execution{}, drainedAt: map[string]time.Time{}, calmStart: calmStart, calmEnd: calmEnd}
	s.mu.Lock()
	e.configChanges, e.poisonArrivals = slices.Clone(s.configChanges), slices.Clone(s.poisonArrivals)
	s.mu.Unlock()
	for _, p := range s.hosts {
		e.unexpectedExits = append(e.unexpectedExits, p.unexpectedRuns()...)
	}
	for _, a := range e.poisonArrivals {
		e.executions[a.request] = append(e.executions[a.request], execution{a.target, "", a.at})
	}
	for _, t := range s.targets {
		if left := t.leftAt(); !left.IsZero() {
			e.drainedAt[t.id] = left
		}
		if t.service == reserveService {
			e.reserveTargets = append(e.reserveTargets, t.id)
		}
		for _, r := range t.runs() {
			e.executions[r.RequestID] = append(e.executions[r.RequestID], execution{t.id, t.service, r.Began})
		}
	}
	e.collectPlacement(s)
	return e
}

// check returns all violations.
func (e *observations) check() []Violation {
	var all []Violation
	for _, x := range e.exchanges {
		all = append(all, e.checkExchange(x)...)
	}
	all = append(all, e.checkDrain()...)
	all = append(all, e.checkPoison()...)
	all = append(all, e.checkRecovery()...)
	all = append(all, e.checkPlacement()...)
	for _, end := range e.unexpectedExits {
		all = append(all, Violation{"a host ends only if it is told to", end})
	}
	return append(all, e.checkVersionOrder()...)
}

func (e *observations) checkExchange(x exchange) []Violation {
	var all []Violation
	report := func(promise, format string, args ...any) {
		all = append(all, Violation{promise, fmt.Sprintf("request %s at %s: ", x.requestID, x.incarnation) + fmt.Sprintf(format, args...)})
	}
	runs := e.executions[x.requestID]
	if x.kind == kindReserve && len(runs) > 1 {
		report("at most once", "ran %d times, first at %s, then at %s", len(runs), runs[0].target, runs[1].target)
	}
	if statusMeansNotRun(x.status) && len(runs) > 0 {
		report("refused as not run", "status %d, ran at %s", x.status, runs[0].target)
	}
	if x.status >= 200 && x.status < 300 {
		if problem := e.answerProblem(x); problem != "" {
			report("whole and true answer", "%s", problem)
		}
	}
	if x.sent.IsZero() || x.sent.Before(e.calmStart) {
		return all
	}
	if x.status == 0 && x.requestWritten && len(runs) > 0 {
		report("a planned stop cuts off nothing", "sent %s after the start of the calm phase, ran but got no answer: %v", x.sent.Sub(e.calmStart), x.err)
	}
	if x.kind == kindVersion && len(runs) > 0 {
		if v := e.newestVersion(x.sent.Add(-maxConfigDelay)); versionOfExecution(runs[0]) < v {
			report("in force within the bound", "sent %s after the start of the calm phase, handled by version %d, want at least %d", x.sent.Sub(e.calmStart), versionOfExecution(runs[0]), v)
		}
	}
	return all
}

// statusMeansNotRun reports whether a status guarantees that the request did not run and never
// will.
func statusMeansNotRun(status int) bool {
	return slices.Contains([]int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}, status)
}

// answerProblem describes what is wrong with a successful answer, or returns "".
func (e *observations) answerProblem(x exchange) string {
	if x.kind == kindQuery {
		return mergeProblem(x)
	}
	for _, r := range e.executions[x.requestID] {
		if x.signature == platformtarget.Signature(r.service, x.requestID) && bytes.Equal(x.body, platformtarget.Body(r.service, x.requestID, recordsPerAnswer)) {
			return ""
		}
	}
	return fmt.Sprintf("signature %q and body of %d bytes match no target's answer", x.signature, len(x.body))
}

// mergeProblem checks the parts, the coverage and the records of a merged answer.
func mergeProblem(x exchange) string {
	var all [][]byte
	named := map[string]bool{}
	for _, p := range x.partSignatures {
		service, id, _ := strings.Cut(p, ".")
		if id != x.requestID || named[service] || !strings.HasPrefix(service, "lists-") {
			return fmt.Sprintf("part %q belongs to another request or occurs twice", p)
		}
		named[service] = true
		body := platformtarget.Body(service, x.requestID, recordsPerAnswer)
		for chunk := range slices.Chunk(body, len(body)/recordsPerAnswer) {
			all = append(all, chunk)
		}
	}
	if len(named)+x.missingParts != shardCount || 2*len(named) < shardCount {
		return fmt.Sprintf("%d parts and %d missing of %d shards", len(named), x.missingParts, shardCount)
	}
	slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
	if !bytes.Equal(x.body, bytes.Join(all[:min(topK, len(all))], nil)) {
		return "the body is not the top records of its parts"
	}
	return ""
}

// newestVersion returns the newest configuration version that was in the store at a time.
func (e *observations) newestVersion(at time.Time) int {
	v := 0
	for _, c := range e.configChanges {
		if !c.publishedAt.After(at) {
			v = c.version
		}
	}
	return v
}

func versionOfExecution(r execution) int {
	var v int
	if _, err := fmt.Sscanf(r.service, "desk-%d", &v); err != nil {
		return 0 // another service
	}
	return v
}

func (e *observations) checkDrain() []Violation {
	var all []Violation
	for _, x := range e.exchanges {
		for _, r := range e.executions[x.requestID] {
			left, ok := e.drainedAt[r.target]
			if ok && r.began.After(left.Add(maxDrainDelay)) {
				all = append(all, Violation{"a leaving target gets no new work", fmt.Sprintf("request %s ran at %s %s after the target left", x.requestID, r.target, r.began.Sub(left))})
			}
		}
	}
	return all
}

// checkPoison checks that hosts stop forwarding a request that crashes its targets.
func (e *observations) checkPoison() []Violation {
	late := map[string]bool{}
	for _, a := range e.poisonArrivals {
		if a.at.After(e.calmStart) {
			late[a.request] = true
		}
	}
	if len(late) <= maxPoisonInCalm {
		return nil
	}
	return []Violation{{"a request that ends its targets is kept from them", fmt.Sprintf("%d copies reached targets in the calm phase", len(late))}}
}

// hasReserveTarget reports whether a reservation target remains available in the calm phase: one
// that has not left and whose failure domain isn't evacuated.
func (e *observations) hasReserveTarget() bool {
	for _, id := range e.reserveTargets {
		_, left := e.drainedAt[id]
		_, evacuated := e.evacuatedSince[e.domainOf[id]]
		if !left && !evacuated {
			return true
		}
	}
	return false
}

// checkRecovery checks that hosts serve again after all faults have ended. Reservations are
// ignored if no reservation target remains.
func (e *observations) checkRecovery() []Violation {
	sent, served := map[int]int{}, map[int]int{}
	reserves := e.hasReserveTarget()
	for _, x := range e.exchanges {
		if x.kind == kindPoison || x.kind == kindReserve && !reserves || x.sent.Before(e.calmStart.Add(maxRecoveryTime)) || x.sent.After(e.calmEnd) {
			continue
		}
		sent[x.host]++
		if x.status >= 200 && x.status < 300 {
			served[x.host]++
		}
	}
	var all []Violation
	for host, n := range sent {
		if n >= minRequestsForShare && float64(served[host]) < minAnsweredShare*float64(n) {
			all = append(all, Violation{"served again in the calm", fmt.Sprintf("host %d answered %d of %d requests", host, served[host], n)})
		}
	}
	return all
}

// checkVersionOrder checks that one run of a host never applied an older configuration version
// after a newer one.
func (e *observations) checkVersionOrder() []Violation {
	byHost := map[string][]exchange{}
	for _, x := range e.exchanges {
		if x.kind == kindVersion && len(e.executions[x.requestID]) > 0 && x.incarnation != "" {
			byHost[x.incarnation] = append(byHost[x.incarnation], x)
		}
	}
	var all []Violation
	for host, xs := range byHost {
		for _, x := range xs {
			used := versionOfExecution(e.executions[x.requestID][0])
			for _, before := range xs {
				if r := e.executions[before.requestID][0]; versionOfExecution(r) > used && r.began.Add(versionOrderSlack).Before(x.sent) {
					all = append(all, Violation{"never back", fmt.Sprintf("%s used version %d for %s, then version %d for %s", host, versionOfExecution(r), before.requestID, used, x.requestID)})
					break
				}
			}
		}
	}
	return all
}

// partSignatures returns the signatures of the parts of a merged answer.
func partSignatures(h http.Header) []string {
	var all []string
	for _, line := range h.Values(platform.HeaderParts) {
		for part := range strings.SplitSeq(line, ",") {
			all = append(all, strings.TrimSpace(part))
		}
	}
	return all
}
