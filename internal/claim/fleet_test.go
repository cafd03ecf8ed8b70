package claim

import (
	"context"
	"crypto/rand"
	"errors"
	"flag"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/prometheus/client_golang/prometheus"

	"rhubarbwood.example/rhubarbwood/internal/catalog"
	"rhubarbwood.example/rhubarbwood/internal/event"
	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/objstore"
	"rhubarbwood.example/rhubarbwood/internal/objstore/objstoretest"
	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/query"
	"rhubarbwood.example/rhubarbwood/internal/targetapi"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" { // no seed was given
		_ = flag.Set("rapid.seed", "1")
		_ = flag.Set("rapid.checks", "400")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

var errFake = errors.New("host is dead in this test")

// target runs reservations and records each execution.
type target struct {
	mu             sync.Mutex
	runs           map[string][]query.ReserveRequest // executions, by reservation id
	ran            map[string]query.Reservation
	refused        map[string]bool
	rejectAttempts int // number of attempts still to reject
	dropAnswers    int // number of answers still to drop after running
}

func (t *target) send(r query.ReserveRequest, id, attempt string) query.Reservation {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.refused[attempt] || t.rejectAttempts > 0 {
		t.rejectAttempts = max(0, t.rejectAttempts-1)
		return query.Reservation{Outcome: outcome.Rejected, Reason: query.ReasonOverload, RetryAfter: time.Second}
	}
	t.runs[r.ReservationID] = append(t.runs[r.ReservationID], r)
	res := query.Reservation{Outcome: outcome.Done, Granted: true, Answer: id + " by " + attempt}
	t.ran[attempt] = res
	if t.dropAnswers > 0 {
		t.dropAnswers--
		return query.Reservation{Outcome: outcome.Unknown, Reason: query.ReasonConnection}
	}
	return res
}

func (t *target) settle(attempt string) targetapi.Settlement {
	t.mu.Lock()
	defer t.mu.Unlock()
	res, ok := t.ran[attempt]
	if !ok {
		t.refused[attempt] = true
	}
	return targetapi.Settlement{AttemptID: attempt, Ran: ok, Answer: targetapi.Answer{Granted: res.Granted, Text: res.Answer}}
}

// gate blocks the goroutines that call pass while it is shut.
type gate struct {
	mu   sync.Mutex
	shut chan struct{} // nil while open
}

func (g *gate) set(shut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if shut && g.shut == nil {
		g.shut = make(chan struct{})
	}
	if !shut && g.shut != nil {
		close(g.shut)
		g.shut = nil
	}
}

func (g *gate) pass() {
	g.mu.Lock()
	shut := g.shut
	g.mu.Unlock()
	if shut != nil {
		<-shut
	}
}

// store is a host's platform client, whose calls pass the host's gate.
type store struct {
	*objstoretest.Client
	gate *gate
}

func (s *store) Put(ctx context.Context, kind, name string, version uint64, value []byte) (objstore.Object, error) {
	s.gate.pass()
	return s.Client.Put(ctx, kind, name, version, value)
}

func (s *store) Now() (time.Time, bool) {
	s.gate.pass()
	return s.Client.Now()
}

// host is one host under test: its Claims, and the Sender, AttemptClient and
// View that Claims uses.
type host struct {
	f             *fleet
	client        *objstoretest.Client
	id            string
	claims        *Claims
	gate          gate // shut while the host is suspended
	sendGate      gate // shut to block a request that was already handed to the kernel
	blockedSend   int  // number of the send, from 1, at which sendGate is shut; 0 for none
	sends         atomic.Int32
	ignoreContext bool // the sender does not check its context
	mu            sync.Mutex
	dead          bool
}

func (h *host) isDead() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.dead
}

// kill ends the host. Nothing that it had not yet sent is sent after that.
func (h *host) kill() {
	h.mu.Lock()
	h.dead = true
	h.mu.Unlock()
	h.client.SetDown(true)
	h.claims.cancel()
	h.gate.set(false)
}

func (h *host) Pick(_ query.ReserveRequest, exclude []string) (string, *query.Refusal) {
	for _, t := range []string{"t0", "t1"} {
		if len(exclude) == 0 || (len(exclude) == 1 && exclude[0] != t) {
			return t, nil
		}
	}
	return "", &query.Refusal{Reason: query.ReasonNoTarget}
}

func (h *host) Send(ctx context.Context, r query.ReserveRequest, _, attempt string) query.Reservation {
	h.gate.pass()
	if (ctx.Err() != nil && !h.ignoreContext) || h.isDead() {
		return query.Reservation{Outcome: outcome.NotSent, Reason: query.ReasonBudget}
	}
	if int(h.sends.Add(1)) == h.blockedSend {
		h.sendGate.set(true)
	}
	h.sendGate.pass()
	res := h.f.target.send(r, h.id, attempt)
	h.gate.pass()
	return res
}

func (h *host) Settle(_ context.Context, _, _, attempt string) (targetapi.Settlement, error) {
	h.gate.pass()
	if h.isDead() {
		return targetapi.Settlement{}, errFake
	}
	return h.f.target.settle(attempt), nil
}

func (h *host) QueryAttempt(ctx context.Context, to member.Host, reservation, attempt string) (AttemptState, error) {
	h.gate.pass()
	other := h.f.host(to.ID)
	if other.isDead() || h.isDead() {
		return AttemptState{}, errFake
	}
	other.gate.pass()
	return other.claims.attemptState(ctx, reservation, attempt), nil
}

func (h *host) Self() member.Host {
	return member.Host{ID: h.id, Incarnation: 1, State: member.Alive}
}

func (h *host) Hosts() []member.Host {
	var hosts []member.Host
	for _, o := range h.f.hosts {
		if !o.isDead() && !h.f.isSeenDead(o.id) {
			hosts = append(hosts, o.Self())
		}
	}
	return hosts
}

func (h *host) Count() int { return len(h.Hosts()) }

func (h *host) Generation() uint64 { return 0 }

// fleet is a set of hosts with one platform and one target.
type fleet struct {
	platform *objstoretest.Platform
	target   *target
	settle   bool
	hosts    []*host
	mu       sync.Mutex
	seenDead map[string]bool // hosts that are dead in the views of all hosts
}

func (f *fleet) setSeenDead(id string, dead bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seenDead[id] = dead
}

func (f *fleet) isSeenDead(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.seenDead[id]
}

func (f *fleet) Service(name string) (catalog.Service, bool) {
	return catalog.Service{Name: name, Rules: catalog.Rules{Settle: f.settle}}, true
}

func (f *fleet) host(id string) *host {
	for _, h := range f.hosts {
		if h.id == id {
			return h
		}
	}
	return nil
}

// add starts a host. Each host has a new id, which stands in for the new
// incarnation of a restarted host.
func (f *fleet) add() *host {
	h := &host{f: f, id: string(rune('a' + len(f.hosts))), client: f.platform.Client()}
	cfg := DefaultConfig()
	cfg.Sweepers = 0
	h.claims = New(cfg, &store{h.client, &h.gate}, h, h, h, f, event.Discard(), prometheus.NewRegistry())
	f.hosts = append(f.hosts, h)
	return h
}

func newFleet(hosts int) *fleet {
	f := &fleet{
		platform: objstoretest.New(), seenDead: map[string]bool{},
		target: &target{runs: map[string][]query.ReserveRequest{}, ran: map[string]query.Reservation{}, refused: map[string]bool{}},
	}
	for range hosts {
		f.add()
	}
	return f
}

// runs returns how often the target ran the reservation.
func (f *fleet) runs(r query.ReserveRequest) int {
	f.target.mu.Lock()
	defer f.target.mu.Unlock()
	return len(f.target.runs[r.ReservationID])
}

// end stops every host and waits for its goroutines.
func (f *fleet) end() {
	for _, h := range f.hosts {
		h.kill()
		h.sendGate.set(false)
	}
	for _, h := range f.hosts {
		h.claims.running.Wait()
		h.claims.writing.Wait()
	}
}

// newID returns a reservation id with the given creation time.
func newID(at time.Time) string { return ulid.MustNew(ulid.Timestamp(at), rand.Reader).String() }

// newReservation returns a request with a new reservation id.
func newReservation() query.ReserveRequest { return reservation(newID(time.Now())) }

func reservation(id string) query.ReserveRequest {
	return query.ReserveRequest{RequestID: rand.Text(), Caller: "c", ReservationID: id, Service: "s", Item: "pan", Budget: time.Second}
}

func (h *host) reserve(r query.ReserveRequest) query.Reservation {
	return h.claims.Reserve(context.Background(), r)
}
