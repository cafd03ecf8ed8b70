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

// table is the response to a statement: rows, or the reason of a refusal.
type table struct {
	Columns []string   `json:"columns"`
	Rows    [][]string `json:"rows"`
	Message string     `json:"message"`
	Reason  string     `json:"reason"`
	Detail  string     `json:"detail"`
	status  int
}

// get returns a field of the first row.
func (a table) get(column string) string {
	i := slices.Index(a.Columns, column)
	if i < 0 || len(a.Rows) == 0 {
		return ""
	}
	return a.Rows[0][i]
}

// statement runs a statement. Status 0 means that there was no response.
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

// accepted is a configuration change that was reported to an operator as accepted.
type accepted struct{ relays, version int }

// operators make concurrent changes to one service through all hosts.
type operators struct {
	done    atomic.Bool
	wg      sync.WaitGroup
	changes atomic.Int64
	counts  sync.Map // number of responses by status

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

// change reads the service's version and makes a change conditional on that version.
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
	waitUntil(t, fmt.Sprint(more, " more changes accepted"), func() bool { return o.changes.Load() >= want })
}

var revisionLine = regexp.MustCompile(`(?m)^rhubarbwood_catalog_revision (\S+)$`)

// watchRevision polls the revision in force on a host until stop returns true, and returns any
// decrease it observed.
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

// TestConfigurationUnderFaults makes concurrent changes through every host while the platform
// loses responses to accepted writes, a host is suspended and resumed, a host is killed, and a
// host starts during an outage of the platform. No host may go back a revision, no two operators
// may get the same version accepted, and finally the last accepted change must be in force on
// every host.
func TestConfigurationUnderFaults(t *testing.T) {
	s := startSiteWith(t, 4, 2)
	live := s.hosts[:3] // operators use these hosts; the fourth is killed
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
	postControl(t, s.platformAddress, objectstore.PathFaults, objectstore.Faults{LoseProbability: 0.3})
	ops.reach(t, 10)
	s.hosts[3].signal(t, syscall.SIGKILL)
	<-s.hosts[3].ended
	live[2].signal(t, syscall.SIGSTOP)
	ops.reach(t, 10)
	postControl(t, s.platformAddress, objectstore.PathFaults, objectstore.Faults{Outage: objectstore.OutageUnavailable})
	s.seed = strconv.Quote(live[0].peers)
	s.hosts[3] = s.replaceHost(t, 3)
	watch(s.hosts[3])
	waitUntil(t, "the host that started in the outage is ready", func() bool { return s.hosts[3].status("/readyz") == http.StatusOK })
	live[2].signal(t, syscall.SIGCONT)
	postControl(t, s.platformAddress, objectstore.PathFaults, objectstore.Faults{})
	ops.reach(t, 10)
	ops.done.Store(true)
	ops.wg.Wait()
	watching.Wait()

	for _, b := range back {
		t.Errorf("a revision went back: %s", b)
	}
	ops.checkVersionsUnique(t)
	for _, h := range s.hosts {
		waitUntil(t, h.name+" reports that all hosts are up to date", func() bool {
			return strings.Contains(h.statement(client, "show config").Message, "in force on 4 of 4 hosts")
		})
	}
}

// checkVersionsUnique checks that no version was accepted twice.
func (o *operators) checkVersionsUnique(t *testing.T) {
	t.Helper()
	by := map[int]int{}
	for _, a := range o.accepted {
		if other, twice := by[a.version]; twice {
			t.Errorf("version %d was reported as accepted with relays %d and %d", a.version, other, a.relays)
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
