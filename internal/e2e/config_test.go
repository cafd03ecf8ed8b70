package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"rhubarbwood.example/rhubarbwood/internal/standin/objectstore"
)

// table is what a statement shows, or why it was refused.
type table struct {
	Columns []string   `json:"columns"`
	Rows    [][]string `json:"rows"`
	Message string     `json:"message"`
	Reason  string     `json:"reason"`
	Detail  string     `json:"detail"`
	status  int
}

// get returns the field of the first row.
func (a table) get(column string) string {
	i := slices.Index(a.Columns, column)
	if i < 0 || len(a.Rows) == 0 {
		return ""
	}
	return a.Rows[0][i]
}

// statement runs a statement; status 0 means that nobody answered.
func (h *host) statement(client *http.Client, statement string) table {
	body, _ := json.Marshal(map[string]string{"statement": statement})
	req, err := http.NewRequest(http.MethodPost, "http://"+h.operators+"/v1/statements", bytes.NewReader(body))
	if err != nil {
		return table{}
	}
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := client.Do(req)
	if err != nil {
		return table{}
	}
	defer resp.Body.Close()
	a := table{status: resp.StatusCode}
	if json.NewDecoder(resp.Body).Decode(&a) != nil {
		return table{}
	}
	return a
}

// accepted is a change that an operator was told as accepted.
type accepted struct{ relays, version int }

// operators race each other with changes of one service, through all hosts.
type operators struct {
	done    atomic.Bool
	wg      sync.WaitGroup
	changes atomic.Int64
	counts  sync.Map // of statuses

	mu       sync.Mutex
	accepted []accepted
}

const contested = "guest-portal-01"

func (o *operators) run(workers int, pick func() *host) {
	client := &http.Client{Timeout: callerTimeout}
	for w := range workers {
		o.wg.Go(func() {
			for n := 0; !o.done.Load(); n++ {
				o.change(client, pick(), w*1000+n%1000+1)
			}
		})
	}
}

// change reads the service's version and changes it at that version.
func (o *operators) change(client *http.Client, h *host, relays int) {
	read := h.statement(client, "show services where service = "+contested)
	version, err := strconv.Atoi(read.get("version"))
	if err != nil {
		return
	}
	a := h.statement(client, fmt.Sprintf("alter service %s set rules.relays = %d at version %d", contested, relays, version))
	n, _ := o.counts.LoadOrStore(fmt.Sprint(a.status, " ", a.Reason, a.get("status")), new(atomic.Int64))
	n.(*atomic.Int64).Add(1)
	if a.get("status") != "accepted" {
		return
	}
	at, _ := strconv.Atoi(a.get("version"))
	o.mu.Lock()
	defer o.mu.Unlock()
	o.accepted = append(o.accepted, accepted{relays, at})
	o.changes.Add(1)
}

func (o *operators) reach(t *testing.T, more int64) {
	t.Helper()
	want := o.changes.Load() + more
	until(t, fmt.Sprint(more, " more changes accepted"), func() bool { return o.changes.Load() >= want })
}

var revisionLine = regexp.MustCompile(`(?m)^rhubarbwood_catalog_revision (\S+)$`)

// watchRevision samples the revision in force on a process until stop, and
// returns what it saw go back.
func (h *host) watchRevision(client *http.Client, stop func() bool) (back []string) {
	last := 0.0
	for !stop() {
		resp, err := client.Get("http://" + h.operators + "/metrics")
		if err != nil {
			continue
		}
		var text bytes.Buffer
		_, err = text.ReadFrom(resp.Body)
		_ = resp.Body.Close()
		m := revisionLine.FindStringSubmatch(text.String())
		if err != nil || m == nil {
			continue
		}
		now, _ := strconv.ParseFloat(m[1], 64)
		if now < last {
			back = append(back, fmt.Sprintf("%s from %v to %v", h.name, last, now))
		}
		last = now
	}
	return back
}

// TestConfigurationUnderFaults has operators race at every host while the
// platform loses answers of accepted writes, a host is frozen and woken, a host
// is killed, and a host starts while the platform is away. No host goes back a
// revision, no two operators are told accepted for one version, and in the end
// the last accepted change is in force on every host.
func TestConfigurationUnderFaults(t *testing.T) {
	s := startSiteWith(t, 4, 2)
	live := s.hosts[:3] // operators work here; the fourth is killed
	var n atomic.Int64
	ops := &operators{}
	ops.run(4, func() *host { return live[int(n.Add(1))%len(live)] })
	client := &http.Client{Timeout: callerTimeout}
	var watching sync.WaitGroup
	var mu sync.Mutex
	var back []string
	watch := func(h *host) {
		watching.Go(func() {
			found := h.watchRevision(client, ops.done.Load)
			mu.Lock()
			defer mu.Unlock()
			back = append(back, found...)
		})
	}
	for _, h := range live {
		watch(h)
	}
	ops.reach(t, 10)
	control(t, s.platformAddress, objectstore.PathFaults, objectstore.Faults{LoseProbability: 0.3})
	ops.reach(t, 10)
	s.hosts[3].signal(t, syscall.SIGKILL)
	<-s.hosts[3].ended
	live[2].signal(t, syscall.SIGSTOP)
	ops.reach(t, 10)
	control(t, s.platformAddress, objectstore.PathFaults, objectstore.Faults{Outage: objectstore.OutageUnavailable})
	s.seed = strconv.Quote(live[0].peers)
	s.hosts[3] = s.replaceHost(t, 3)
	watch(s.hosts[3])
	until(t, "the host that started in the outage is ready", func() bool { return s.hosts[3].status("/readyz") == http.StatusOK })
	live[2].signal(t, syscall.SIGCONT)
	control(t, s.platformAddress, objectstore.PathFaults, objectstore.Faults{})
	ops.reach(t, 10)
	ops.done.Store(true)
	ops.wg.Wait()
	watching.Wait()

	for _, b := range back {
		t.Errorf("a revision went back: %s", b)
	}
	ops.judge(t)
	for _, h := range s.hosts {
		until(t, h.name+" tells that all hosts are up to date", func() bool {
			return strings.Contains(h.statement(client, "show config").Message, "in force on 4 of 4 hosts")
		})
	}
}

// judge checks that no version was accepted twice.
func (o *operators) judge(t *testing.T) {
	t.Helper()
	by := map[int]int{}
	for _, a := range o.accepted {
		if other, twice := by[a.version]; twice {
			t.Errorf("version %d was told as accepted with relays %d and %d", a.version, other, a.relays)
		}
		by[a.version] = a.relays
	}
	counts := map[string]int64{}
	o.counts.Range(func(k, v any) bool {
		counts[k.(string)] = v.(*atomic.Int64).Load()
		return true
	})
	t.Logf("%d changes accepted; statements: %v", len(o.accepted), counts)
}
