//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
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

// program is the project's binary, as the build line of the deploy file places it.
const program = "target/rhubarbwood"

// deskHost is the host name of all routes.
const deskHost = "desk.example"

// fleet is the processes of one small deployment on loopback addresses: the project's stand-in of the
// platform's store and the hosts.
type fleet struct {
	dir   string // temporary; holds settings and logs
	store string // address of the store

	mu      sync.Mutex
	stopped bool
	procs   []*exec.Cmd
}

func newFleet() (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	return &fleet{dir: dir}, err
}

// stop ends every process that the fleet started and removes the temporary folder.
func (f *fleet) stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopped = true
	for _, p := range f.procs {
		_ = p.Process.Signal(syscall.SIGCONT)
		_ = p.Process.Kill()
	}
	for _, p := range f.procs {
		_ = p.Wait()
	}
	_ = os.RemoveAll(f.dir)
}

func (f *fleet) start(name string, env []string, args ...string) (*exec.Cmd, error) {
	out, err := os.Create(filepath.Join(f.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	defer out.Close()
	cmd := exec.Command(program, args...)
	cmd.Env = append(os.Environ(), env...)
	cmd.Stdout, cmd.Stderr = out, out
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopped {
		return nil, errors.New("the fleet is stopped")
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	f.procs = append(f.procs, cmd)
	return cmd, nil
}

// object is one object that the store holds at its start.
type object struct {
	Kind  string `json:"kind"`
	Name  string `json:"name"`
	Value any    `json:"value"`
}

// startStore starts the project's stand-in of the store with the objects.
func (f *fleet) startStore(objects []object) error {
	f.store = freeAddress()
	settings, err := json.Marshal(map[string]any{"listen": f.store, "seeds": map[string]any{"objects": objects}})
	if err != nil {
		return err
	}
	file := filepath.Join(f.dir, "store.jsonc")
	if err := os.WriteFile(file, settings, 0o600); err != nil {
		return err
	}
	if _, err := f.start("store", nil, "standin", "platform", "--settings="+file); err != nil {
		return err
	}
	return await(10*time.Second, func() bool { return get(f.store, "/api/objects/config") == http.StatusOK })
}

// host is one host process with its addresses.
type host struct {
	name, zone                        string
	callers, readiness, metrics, peer string
	settings                          string
	cmd                               *exec.Cmd
}

// settingsTemplate has the fields of deploy/gateway.jsonc.tmpl with the bounds of the small deployments.
const settingsTemplate = `{
  "host": %q, "failure_domain": %q, "link_mbps": 1000,
  "addresses": {"callers": %q, "readiness": %q, "metrics": %q, "peers": %q},
  "stop": {"grace": "6s"},
  "platform": {"addresses": [%q]},
  "member": {"seeds": [%s]},
  "discovery": {"apply_within": "3000ms", "leave_within": "3000ms", "registration_beat": "1200ms", "settle": "1s", "start_spread": "1s"},
  "gateway": {"retry_ratio": 0.2, "retry_slack": 58, "retry_window": "10s", "regions": {%s}}
}
`

// newHost returns a host of a zone with addresses of its own.
func newHost(number int, zone string) *host {
	return &host{
		name: fmt.Sprintf("front-%s-%d", zone, number), zone: zone,
		callers: freeAddress(), readiness: freeAddress(), metrics: freeAddress(), peer: freeAddress(),
	}
}

// writeSettings writes the settings file of a host, which knows the first three hosts as seeds.
func (f *fleet) writeSettings(h *host, hosts []*host) error {
	var seeds, regions []string
	for i, other := range hosts {
		if i < 3 {
			seeds = append(seeds, fmt.Sprintf("%q", other.peer))
		}
		regions = append(regions, fmt.Sprintf("%q: %q", other.zone, "nordeste"))
	}
	h.settings = filepath.Join(f.dir, h.name+".jsonc")
	text := fmt.Sprintf(settingsTemplate, h.name, h.zone, h.callers, h.readiness, h.metrics, h.peer, f.store,
		strings.Join(seeds, ", "), strings.Join(unique(regions), ", "))
	return os.WriteFile(h.settings, []byte(text), 0o600)
}

// startHosts starts a host in each of the zones, and waits until they are ready.
func (f *fleet) startHosts(zones ...string) ([]*host, error) {
	hosts := make([]*host, len(zones))
	for i, zone := range zones {
		hosts[i] = newHost(i+1, zone)
	}
	for _, h := range hosts {
		if err := f.writeSettings(h, hosts); err != nil {
			return nil, err
		}
		if err := f.startHost(h); err != nil {
			return nil, err
		}
	}
	return hosts, await(20*time.Second, func() bool {
		for _, h := range hosts {
			if !h.ready() {
				return false
			}
		}
		return true
	})
}

// addHost starts one more host.
func (f *fleet) addHost(hosts []*host, zone string) (*host, error) {
	h := newHost(len(hosts)+1, zone)
	if err := f.writeSettings(h, hosts); err != nil {
		return nil, err
	}
	return h, f.startHost(h)
}

func (f *fleet) startHost(h *host) (err error) {
	h.cmd, err = f.start(h.name, []string{"RHUBARBWOOD_SETTINGS=" + h.settings}, "gateway")
	return err
}

func (h *host) ready() bool { return get(h.readiness, "/api/readyz") == http.StatusOK }

// get returns the status of a GET, 0 without an answer.
func get(address, path string) int {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + address + path)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// freeAddress returns a loopback address with a free port below the range that the system uses for outgoing
// connections. Addresses that were returned before are not returned again.
func freeAddress() string {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", 12000+rand.IntN(18000))
		ln, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = ln.Close()
		usedMu.Lock()
		taken := used[address]
		used[address] = true
		usedMu.Unlock()
		if !taken {
			return address
		}
	}
}

var (
	usedMu sync.Mutex
	used   = map[string]bool{}
)

func unique(list []string) []string {
	var out []string
	seen := map[string]bool{}
	for _, s := range list {
		if !seen[s] {
			seen[s] = true
			out = append(out, s)
		}
	}
	return out
}

func await(limit time.Duration, done func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if done() {
			return nil
		}
	}
	return fmt.Errorf("not reached within %s", limit)
}

// answer is what a client saw of one request.
type answer struct {
	status    int // 0: the connection ended without a complete answer
	signature string
	err       error
	read      bool // the whole request was written
	took      time.Duration
}

// send sends one request over a new connection and reads the answer.
func send(address, method, hostname, path, id string, budget time.Duration, body string) (a answer) {
	began := time.Now()
	defer func() { a.took = time.Since(began) }()
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(began.Add(budget))
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, path, hostname, id, budget.Milliseconds())
	if method == http.MethodPost {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := io.WriteString(conn, text+"\r\n"+body); err != nil {
		return answer{err: err}
	}
	a.read = true
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	if _, err := io.ReadAll(resp.Body); err != nil {
		a.err = err
		return a
	}
	a.status, a.signature = resp.StatusCode, resp.Header.Get("X-Response-Signature")
	return a
}
