//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record is the log of a case: what was sent, answered and run, with the seconds since its start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// site is a small deployment: hosts as processes, and stand-ins of the store and the backends in this process.
type site struct {
	*record
	dir    string // temporary folder
	store  *store
	hosts  []*host
	prefix string // loopback network of the hosts, 127.a.b

	backends []*backend
}

// host is one gateway process with the settings of the deploy file's template.
type host struct {
	name, ip, zone, settings, callers, ready, peers string

	process *exec.Cmd
	done    chan struct{} // closed when the process has ended
}

func newSite(rec *record) (*site, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	st, err := newStore()
	if err != nil {
		return nil, err
	}
	return &site{record: rec, dir: dir, store: st, prefix: fmt.Sprintf("127.%d.%d", 1+rand.IntN(200), rand.IntN(250))}, nil
}

// addHosts writes the settings of n hosts. Values are those of a small site's wire example.
func (s *site) addHosts(n int, bootstrap bool) error {
	zones := map[string]string{"zone-a": "region-a", "zone-b": "region-a", "zone-c": "region-a"}
	var seeds []string
	for i := range n {
		h := &host{name: fmt.Sprintf("front-%d", i+1), ip: fmt.Sprintf("%s.%d", s.prefix, i+1), zone: zone(i)}
		h.callers, h.ready, h.peers = freePort(h.ip), freePort(h.ip), freePort(h.ip)
		s.hosts = append(s.hosts, h)
		if len(seeds) < 3 {
			seeds = append(seeds, h.peers)
		}
	}
	for _, h := range s.hosts {
		fields := map[string]any{
			"nodeName": h.name, "ip": h.ip, "zone": h.zone, "region": "region-a", "seedNodes": seeds, "bootstrap": bootstrap, "heartbeatMs": 1200, "zones": zones,
			"bindAddresses": map[string]any{"front": h.callers, "ready": h.ready, "control": h.peers},
			"limits":        map[string]any{"bandwidthMbps": 1000.0},
			"bounds":        map[string]any{"graceS": 6, "configApplyMs": 3000, "drainMs": 3000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 52},
			"platform":      map[string]any{"address": s.store.address},
		}
		text, err := os.ReadFile("deploy/gateway.jsonc.tmpl")
		if err != nil {
			return err
		}
		h.settings = filepath.Join(s.dir, h.name+".jsonc")
		if err := os.WriteFile(h.settings, []byte(render(string(text), fields)), 0o600); err != nil {
			return err
		}
	}
	return nil
}

func freePort(ip string) string {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

// lookup returns the value at a dotted path.
func lookup(fields map[string]any, path string) any {
	var value any = fields
	for _, part := range strings.Split(path, ".") {
		table, ok := value.(map[string]any)
		if !ok {
			return nil
		}
		value = table[part]
	}
	return value
}

// render fills in the parts of the template language that the deploy file's template uses.
func render(text string, fields map[string]any) string {
	for {
		start := strings.Index(text, "{{#")
		if start < 0 {
			break
		}
		name := text[start+3 : start+strings.Index(text[start:], "}}")]
		end := strings.Index(text, "{{/"+name+"}}")
		inner := text[start+len("{{#")+len(name)+len("}}") : end]
		if value := lookup(fields, name); value == nil || value == false {
			inner = ""
		}
		text = text[:start] + inner + text[end+len("{{/")+len(name)+len("}}"):]
	}
	for {
		start := strings.Index(text, "{{")
		if start < 0 {
			return text
		}
		end := start + strings.Index(text[start:], "}}")
		name, asJSON := strings.CutSuffix(text[start+2:end], "|json")
		value := fmt.Sprint(lookup(fields, name))
		if asJSON {
			raw, err := json.Marshal(lookup(fields, name))
			if err != nil {
				panic(err)
			}
			value = string(raw)
		}
		text = text[:start] + value + text[end+2:]
	}
}

// start runs the host with the command of the deploy file.
func (s *site) start(h *host) error {
	logFile, err := os.OpenFile(filepath.Join(s.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command("target/rhubarbwood", "gateway")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "RHUBARBWOOD_SETTINGS=" + h.settings}
	c.Stdout, c.Stderr = logFile, logFile
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	h.process, h.done = c, make(chan struct{})
	go func(done chan struct{}) {
		err := c.Wait()
		_ = logFile.Close()
		s.note("host %s: its process has ended (%v)", h.name, err)
		close(done)
	}(h.done)
	return nil
}

// running reports whether the host's process has not ended.
func (h *host) running() bool {
	select {
	case <-h.done:
		return false
	default:
		return true
	}
}

// startAll starts every host and waits until all are ready.
func (s *site) startAll() error {
	for _, h := range s.hosts {
		if err := s.start(h); err != nil {
			return err
		}
	}
	for _, h := range s.hosts {
		if err := s.awaitReady(h, 15*time.Second); err != nil {
			return err
		}
	}
	s.note("%d hosts are ready", len(s.hosts))
	return nil
}

func (s *site) awaitReady(h *host, limit time.Duration) error {
	until := time.Now().Add(limit)
	client := &http.Client{Timeout: time.Second}
	for time.Now().Before(until) {
		resp, err := client.Get("http://" + h.ready + "/api/readyz")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == 200 {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("host %s is not ready after %s", h.name, limit)
}

// end kills the processes that the case started, and removes its folder unless KEEP is set.
func (s *site) end() {
	for _, h := range s.hosts {
		if h.process != nil && h.running() {
			_ = h.process.Process.Kill()
			<-h.done
		}
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("kept:", s.dir)
		return
	}
	_ = os.RemoveAll(s.dir)
}

// register writes the entry of a backend.
func (s *site) register(id, service, address, zone, state string, slots int) {
	s.store.put("servers", id, map[string]any{
		"service": service, "address": address, "zone": zone, "version": "v1", "maxConcurrency": slots, "state": state, "coldLeftMs": 0,
		"sequence": time.Now().UnixMilli(),
	})
}

// limits are the operator's limits of a manifest.
var limits = map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 5000, "idleTimeoutMs": 30000}

// settleTime is how long all is left alone before the disruption: longer than stableWindowMs, so that the hosts
// are in touch.
const settleTime = 5 * time.Second

// zone returns the zone of the n-th host or backend.
func zone(n int) string { return fmt.Sprintf("zone-%c", 'a'+n%3) }
