package e2e

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"rhubarbwood.example/rhubarbwood/internal/standin/fixture"
	"rhubarbwood.example/rhubarbwood/internal/standin/objectstore"
	"rhubarbwood.example/rhubarbwood/internal/standin/target"
)

const token = "a-token-for-the-tests"

// site is a complete installation: a platform stand-in, targets and hosts.
type site struct {
	dir      string
	platform *process
	targets  []*process
	hosts    []*host

	domains         []string          // failure domains
	addresses       map[string]string // of targets
	platformAddress string
	seed            string // quoted peer address in the settings of new hosts; empty: none
	stopLag         string // balancer_lag of the hosts; empty: a short default
}

// host is one gateway process and its addresses.
type host struct {
	*process
	callers, operators, peers string
}

// startSite starts the demo layout with the given number of hosts, each in a failure domain of its
// own.
func startSite(t *testing.T, hosts int) *site {
	t.Helper()
	s := &site{dir: t.TempDir()}
	addresses := s.startTargets(t)
	layout := fixture.Demo(fixture.Options{Address: func(id string) string { return addresses[id] }})
	platform := s.startPlatform(t, layout.Seeds())
	for i := range hosts {
		s.hosts = append(s.hosts, s.startHost(t, i, layout.Domains[i%len(layout.Domains)], platform))
	}
	for _, h := range s.hosts {
		h.untilReady(t, hosts)
	}
	return s
}

func (s *site) write(t *testing.T, name string, v any) string {
	t.Helper()
	text, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	return s.writeText(t, name, "// Made by a test.\n"+string(text))
}

func (s *site) writeText(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(s.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func (s *site) executionLog(id string) string { return filepath.Join(s.dir, id+".log") }

// startTargets starts all targets of the layout on free ports and returns their addresses by ID.
func (s *site) startTargets(t *testing.T) map[string]string {
	t.Helper()
	free := func(string) string { return "127.0.0.1:0" }
	addresses := map[string]string{}
	for _, c := range fixture.Demo(fixture.Options{Address: free}).Targets {
		c.ExecutionLog = s.executionLog(c.ID)
		p := start(t, c.ID, "standin", "target", "--settings", s.write(t, c.ID+".jsonc", c))
		addresses[c.ID] = p.lineWithPrefix(t, "listening")
		s.targets = append(s.targets, p)
	}
	s.addresses = addresses
	return addresses
}

func (s *site) startPlatform(t *testing.T, seeds objectstore.Seeds) string {
	t.Helper()
	seedFile := filepath.Join(s.dir, "seeds.json")
	text, err := json.Marshal(seeds)
	if err != nil {
		t.Fatal(err)
	}
	s.writeText(t, "seeds.json", string(text))
	c := objectstore.DefaultConfig()
	c.SeedFile = seedFile
	s.platform = start(t, "platform", "standin", "platform", "--settings", s.write(t, "platform.jsonc", c))
	return s.platform.lineWithPrefix(t, "listening")
}

const hostSettings = `{
  // Made by a test.
  "host": "%[1]s",
  "failure_domain": "%[2]s",
  "addresses": {"callers": "127.0.0.1:0", "operators": "127.0.0.1:0", "peers": "127.0.0.1:0"},
  "operators": [{"name": "tester", "token": "%[3]s"}],
  "stop": {"balancer_lag": "%[5]s", "hard_limit": "50s"},
  "platform": {"addresses": ["%[4]s"]},
  "member": {"seeds": [%[6]s]},
  "delivery": {"min_interval": "1s"},
}`

func (s *site) startHost(t *testing.T, i int, domain, platform string) *host {
	t.Helper()
	name := fmt.Sprintf("%s-%d", domain, i+1)
	file := s.writeText(t, name+".jsonc", fmt.Sprintf(hostSettings, name, domain, token, platform, cmp.Or(s.stopLag, "100ms"), s.seed))
	h := &host{process: start(t, name, "serve", "--settings", file)}
	for _, field := range strings.Fields(h.lineWithPrefix(t, "started")) {
		key, value, _ := strings.Cut(field, "=")
		switch key {
		case "callers":
			h.callers = value
		case "operators":
			h.operators = value
		case "peers":
			h.peers = value
		}
	}
	return h
}

// untilReady waits until the host is ready and counts all hosts as alive.
func (h *host) untilReady(t *testing.T, hosts int) {
	t.Helper()
	waitUntil(t, h.name+" is ready", func() bool { return h.status("/readyz") == http.StatusOK })
	alive := fmt.Sprintf(`rhubarbwood_member_hosts{state="alive"} %d`, hosts)
	waitUntil(t, h.name+" counts every host as alive", func() bool { return strings.Contains(h.metrics(t), alive+"\n") })
}

// status sends a GET request to the callers' listener and returns the status; 0: no response.
func (h *host) status(path string) int {
	resp, err := http.Get("http://" + h.callers + path)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

func (h *host) metrics(t *testing.T) string {
	t.Helper()
	resp, err := http.Get("http://" + h.operators + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// executions reads the execution logs of all targets and returns the executions by reservation ID.
func (s *site) executions(t *testing.T) map[string][]target.Execution {
	t.Helper()
	ran := map[string][]target.Execution{}
	logs, err := filepath.Glob(s.executionLog("*"))
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range logs {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		for _, line := range strings.Split(strings.TrimSpace(string(text)), "\n") {
			if line == "" {
				continue
			}
			var e target.Execution
			if err := json.Unmarshal([]byte(line), &e); err != nil {
				t.Fatalf("%s: %v", path, err)
			}
			ran[e.ReservationID] = append(ran[e.ReservationID], e)
		}
	}
	return ran
}
