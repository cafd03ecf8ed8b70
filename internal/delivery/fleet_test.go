package delivery

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/event"
	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/platform/platformtest"
)

// fleet is hosts that record deliveries, and the count that their driver kept.
type fleet struct {
	t        testing.TB
	cfg      Config
	platform *platformtest.Platform
	live     []member.Host
	hosts    map[string]*host
	driven   map[string]uint64 // by host and incarnation
	runs     int
}

type host struct {
	*Windows
	info   member.Host
	client *platformtest.Client
}

// view is the membership as one host sees it: all live hosts of the fleet.
type view struct {
	f    *fleet
	self member.Host
}

func (v view) Self() member.Host    { return v.self }
func (v view) Hosts() []member.Host { return v.f.live }
func (v view) Generation() uint64   { return 0 }

func newFleet(t testing.TB, hosts int) *fleet {
	f := &fleet{t: t, cfg: DefaultConfig(), platform: platformtest.New(), hosts: map[string]*host{}, driven: map[string]uint64{}}
	for i := range hosts {
		f.start(fmt.Sprintf("h%d", i))
	}
	return f
}

func (f *fleet) start(id string) *host {
	f.runs++
	h := &host{info: member.Host{ID: id, Incarnation: uint64(f.runs), State: member.Alive}, client: f.platform.Client()}
	f.live = append(slices.Clone(f.live), h.info)
	h.Windows = New(f.cfg, h.client, view{f, h.info}, event.Discard(), nil)
	f.hosts[id] = h
	_ = h.Start(context.Background())
	return h
}

// leave takes the host out of the membership and stops it; killed, it gets no
// window out any more.
func (f *fleet) leave(id string, killed bool) {
	h := f.hosts[id]
	delete(f.hosts, id)
	f.live = slices.DeleteFunc(slices.Clone(f.live), func(m member.Host) bool { return m.ID == id })
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if killed {
		h.client.Outage(true)
		cancel()
	}
	_ = h.Stop(ctx)
}

func (f *fleet) stopAll() {
	for id := range f.hosts {
		f.leave(id, false)
	}
}

// record gives each host n deliveries.
func (f *fleet) record(n int) {
	for _, h := range f.hosts {
		for i := range n {
			h.Record(delivery(i))
			f.driven[h.key()]++
		}
	}
}

func (h *host) key() string { return fmt.Sprintf("%s/%d", h.info.ID, h.info.Incarnation) }

// delivery returns a delivery of one of a few kinds, each by its host alike.
func delivery(i int) Delivery {
	return Delivery{
		RequestID: fmt.Sprint("q", i), Caller: fmt.Sprint("shop", i%3), Service: "guest-portal", Outcome: outcome.Done,
		Coverage: 1 - float64(i%2)/10, Snapshot: 7, Latency: time.Duration(20+i) * time.Millisecond, Attempts: 3, Needed: 3,
	}
}

func (f *fleet) reporter() *Reporter {
	return NewReporter(f.cfg, f.platform.Client(), view{f, member.Host{}}, event.Discard())
}

func (f *fleet) report(q Query) Report {
	f.t.Helper()
	r, err := f.reporter().Report(context.Background(), q)
	if err != nil {
		f.t.Fatal(err)
	}
	return r
}

// whole returns what the driver counted at hosts on which the report says that
// it is complete, and what it counted at the others.
func (f *fleet) whole(c Completeness) (complete, incomplete uint64) {
	told := fmt.Sprint(c.Missing, c.Open)
	for key, n := range f.driven {
		id, run, _ := strings.Cut(key, "/")
		if strings.Contains(told, fmt.Sprintf("host %s, incarnation %s", id, run)) {
			incomplete += n
			continue
		}
		complete += n
	}
	return complete, incomplete
}
