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

// fleet is hosts that record deliveries, and the count of what each recorded.
type fleet struct {
	t        fataler
	cfg      Config
	platform *objstoretest.Platform
	live     atomic.Pointer[[]member.Host]
	hosts    map[string]*host
	recorded map[string]uint64 // by host and incarnation
	runs     int
	services []catalog.Service // whose burn is reported
}

// fataler is a test or a property.
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

// view is the membership as one host sees it: all live hosts of the fleet.
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
	f.runs++
	h := &host{info: member.Host{ID: id, Incarnation: uint64(f.runs), State: member.Alive}, client: f.platform.Client(), metrics: prometheus.NewRegistry()}
	f.setHosts(append(slices.Clone(f.hostsNow()), h.info))
	h.Windows = New(f.cfg, h.client, view{f, h.info}, event.Discard(), nil)
	h.compactor = NewCompactor(f.cfg, h.client, view{f, h.info}, func() []Objective { return Objectives(f.services) }, event.Discard(), h.metrics)
	f.hosts[id] = h
	_ = h.Start(context.Background())
	_ = h.compactor.Start(context.Background())
}

// leave takes the host out of the membership and stops it; killed, it gets no
// window out any more.
func (f *fleet) leave(id string, killed bool) {
	h := f.hosts[id]
	delete(f.hosts, id)
	f.setHosts(slices.DeleteFunc(slices.Clone(f.hostsNow()), func(m member.Host) bool { return m.ID == id }))
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if killed {
		h.client.Outage(true)
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

// record gives each host n deliveries.
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
// the host that records it, so that a report can be held against the fleet's
// count run by run.
func delivery(run string, i int) Delivery {
	return Delivery{
		RequestID: fmt.Sprint("q", i), Caller: fmt.Sprint("shop", i%3), Service: run, Outcome: outcome.Done,
		Coverage: 1 - float64(i%2)/10, Snapshot: 7, Latency: time.Duration(20+i) * time.Millisecond, Attempts: 3, Needed: 3,
	}
}

func (f *fleet) reporter() *Reporter {
	return NewReporter(f.cfg, f.platform.Client(), view{f, member.Host{}}, event.Discard())
}

// report returns the report on a time, by host and incarnation.
func (f *fleet) report(since time.Duration) Report {
	f.t.Helper()
	r, err := f.reporter().Report(context.Background(), Query{Since: since, By: []Field{FieldService}})
	if err != nil {
		f.t.Fatal(err)
	}
	return r
}

// differences holds a report against what the hosts recorded. A run that the
// report vouches for must be there to the last delivery; of any other there
// must not be more than was recorded.
func (f *fleet) differences(r Report) []string {
	unvouched := map[string]bool{}
	name := func(i Incarnation) { unvouched[fmt.Sprintf("%s/%d", i.Host, i.Number)] = true }
	for _, gap := range r.Completeness.Missing {
		name(gap.Incarnation)
	}
	for _, open := range r.Completeness.Open {
		name(open.Incarnation)
	}
	reported := map[string]uint64{}
	for _, l := range r.Lines {
		reported[l.Key.Service] = l.Sums.Count
	}
	var differences []string
	for _, run := range slices.Sorted(maps.Keys(f.recorded)) {
		vouched := !unvouched[run]
		if n := f.recorded[run]; reported[run] > n || vouched && reported[run] != n {
			differences = append(differences, fmt.Sprintf("%s: %d reported, %d recorded, vouched for: %t", run, reported[run], n, vouched))
		}
	}
	return differences
}
