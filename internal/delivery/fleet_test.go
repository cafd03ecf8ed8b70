package delivery

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"rhubarbwood.example/rhubarbwood/internal/catalog"
	"rhubarbwood.example/rhubarbwood/internal/event"
	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/objstore/objstoretest"
	"rhubarbwood.example/rhubarbwood/internal/outcome"
)

// fleet is a set of hosts that record deliveries, with a count of what each
// recorded.
type fleet struct {
	t               fataler
	cfg             Config
	platform        *objstoretest.Platform
	live            atomic.Pointer[[]member.Host]
	hosts           map[string]*host
	recorded        map[string]uint64 // by host and incarnation
	lastIncarnation int
	services        []catalog.Service // services whose burn is reported
}

// fataler is implemented by tests and property checks.
type fataler interface {
	Helper()
	Fatal(args ...any)
}

type host struct {
	*Windows
	compactor *Compactor
	metrics   *prometheus.Registry
	info      member.Host
	client    *objstoretest.Client
}

// view is the membership as seen by one host: all live hosts of the fleet.
type view struct {
	f    *fleet
	self member.Host
}

func (v view) Self() member.Host    { return v.self }
func (v view) Hosts() []member.Host { return v.f.hostsNow() }
func (v view) Count() int           { return len(v.Hosts()) }

func (v view) Generation() uint64 { return 0 }

func newFleet(t fataler, cfg Config, hosts int, services ...catalog.Service) *fleet {
	f := &fleet{t: t, cfg: cfg, platform: objstoretest.New(), hosts: map[string]*host{}, recorded: map[string]uint64{}, services: services}
	for i := range hosts {
		f.start(fmt.Sprintf("h%d", i))
	}
	return f
}

func (f *fleet) start(id string) {
	f.lastIncarnation++
	h := &host{info: member.Host{ID: id, Incarnation: uint64(f.lastIncarnation), State: member.Alive}, client: f.platform.Client(), metrics: prometheus.NewRegistry()}
	f.setHosts(append(slices.Clone(f.hostsNow()), h.info))
	h.Windows = New(f.cfg, h.client, view{f, h.info}, event.Discard(), nil)
	h.compactor = NewCompactor(f.cfg, h.client, view{f, h.info}, func() []Objective { return Objectives(f.services) }, event.Discard(), h.metrics)
	f.hosts[id] = h
	_ = h.Start(context.Background())
	_ = h.compactor.Start(context.Background())
}

// leave removes the host from the membership and stops it. A killed host writes
// no more windows.
func (f *fleet) leave(id string, killed bool) {
	h := f.hosts[id]
	delete(f.hosts, id)
	f.setHosts(slices.DeleteFunc(slices.Clone(f.hostsNow()), func(m member.Host) bool { return m.ID == id }))
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if killed {
		h.client.SetDown(true)
		cancel()
	}
	_ = h.compactor.Stop(ctx)
	_ = h.Stop(ctx)
}

func (f *fleet) setHosts(live []member.Host) { f.live.Store(&live) }

// hostsNow returns the live hosts.
func (f *fleet) hostsNow() []member.Host {
	if live := f.live.Load(); live != nil {
		return *live
	}
	return nil
}

// ids returns the running hosts, sorted.
func (f *fleet) ids() []string { return slices.Sorted(maps.Keys(f.hosts)) }

func (f *fleet) stopAll() {
	for _, id := range f.ids() {
		f.leave(id, false)
	}
}

// record records n deliveries on each host.
func (f *fleet) record(n int) {
	for _, id := range f.ids() {
		h := f.hosts[id]
		for i := range n {
			h.Record(delivery(h.key(), i))
			f.recorded[h.key()]++
		}
	}
}

func (h *host) key() string { return fmt.Sprintf("%s/%d", h.info.ID, h.info.Incarnation) }

// delivery returns one of a few kinds of delivery. Its service is the run of
// the recording host, so that a report can be compared with the fleet's counts
// run by run.
func delivery(run string, i int) Delivery {
	return Delivery{
		RequestID: fmt.Sprint("q", i), Caller: fmt.Sprint("shop", i%3), Service: run, Outcome: outcome.Done,
		Coverage: 1 - float64(i%2)/10, Snapshot: 7, Latency: time.Duration(20+i) * time.Millisecond, Attempts: 3, Needed: 3,
	}
}

func (f *fleet) reporter() *Reporter {
	return NewReporter(f.cfg, f.platform.Client(), view{f, member.Host{}}, event.Discard())
}

// report returns the report on the last since, grouped by host and incarnation.
func (f *fleet) report(since time.Duration) Report {
	f.t.Helper()
	r, err := f.reporter().Report(context.Background(), Query{Since: since, GroupBy: []Field{FieldService}})
	if err != nil {
		f.t.Fatal(err)
	}
	return r
}

// differences compares a report with the deliveries that the hosts recorded.
// For a run that the report states to be complete, the counts must be equal.
// For any other run the report must not contain more than was recorded.
func (f *fleet) differences(r Report) []string {
	incomplete := map[string]bool{}
	markIncomplete := func(i Incarnation) { incomplete[fmt.Sprintf("%s/%d", i.Host, i.Number)] = true }
	for _, gap := range r.Completeness.Missing {
		markIncomplete(gap.Incarnation)
	}
	for _, open := range r.Completeness.Incomplete {
		markIncomplete(open.Incarnation)
	}
	reported := map[string]uint64{}
	for _, l := range r.Lines {
		reported[l.Key.Service] = l.Totals.Count
	}
	var differences []string
	for _, run := range slices.Sorted(maps.Keys(f.recorded)) {
		complete := !incomplete[run]
		if n := f.recorded[run]; reported[run] > n || complete && reported[run] != n {
			differences = append(differences, fmt.Sprintf("%s: %d reported, %d recorded, stated complete: %t", run, reported[run], n, complete))
		}
	}
	return differences
}
