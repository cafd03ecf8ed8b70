package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// freePort listens on a free port of the loopback interface.
const freePort = "127.0.0.1:0"

// Times of a host's graceful stop, below the defaults to shorten a run.
const (
	balancerLag = 500 * time.Millisecond
	stopGrace   = 5 * time.Second
)

// process is one host as a separate process. Signals are sent only to processes that the soak
// started itself.
type process struct {
	name           string
	binary         string
	settingsFile   string
	logFile        string
	suspendedFile  string // file with the total time for which the process was suspended
	callersAddress string

	mu              sync.Mutex
	cmd             *exec.Cmd
	exited          chan struct{}
	starts          int
	stopRequested   bool          // a stop signal was sent to the current run
	unexpectedExits []string      // runs that ended without a stop signal
	totalSuspended  time.Duration // as seen by the process's clock
}

// newProcess writes the settings of a host. store is the address of the store, ports are the four
// addresses of the host, and linkMbps is its link rate, 0 if none is set.
func newProcess(dir, binary, name, domain, store string, ports [4]string, seeds []string, linkMbps float64, placement *placementSettings) (*process, error) {
	p := &process{
		name: name, binary: binary, callersAddress: ports[0],
		settingsFile: filepath.Join(dir, name+".jsonc"), logFile: filepath.Join(dir, name+".log"),
		suspendedFile: filepath.Join(dir, name+".asleep"),
	}
	settings := map[string]any{
		"host": name, "failure_domain": domain, "link_mbps": linkMbps,
		"addresses": map[string]string{"callers": ports[0], "readiness": ports[1], "metrics": ports[2], "peers": ports[3]},
		"stop":      map[string]string{"grace": stopGrace.String(), "balancer_lag": balancerLag.String()},
		"platform":  map[string]any{"addresses": []string{store}},
		"member":    map[string]any{"seeds": seeds},
	}
	placement.addTo(settings)
	text, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, Error.New("encode settings of %s: %w", name, err)
	}
	return p, Error.Wrap(os.WriteFile(p.settingsFile, text, 0o600))
}

// start starts the process again after the previous run has ended.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return Error.New("open log of %s: %w", p.name, err)
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	p.cmd = exec.Command(p.binary, "gateway", "--settings", p.settingsFile, "--suspended-file", p.suspendedFile)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // ends the process with the soak
	if err := p.cmd.Start(); err != nil {
		return Error.New("start %s: %w", p.name, err)
	}
	p.starts++
	p.stopRequested = false
	exited := make(chan struct{})
	p.exited = exited
	cmd := p.cmd
	go func() {
		p.recordExit(cmd.Wait())
		close(exited)
	}()
	return nil
}

// recordExit records the end of the current run; exitErr is nil for exit code 0.
func (p *process) recordExit(exitErr error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.stopRequested {
		p.unexpectedExits = append(p.unexpectedExits, fmt.Sprintf("%s/%d: %v", p.name, p.starts, exitErr))
	}
}

// unexpectedRuns returns the runs that ended without a stop signal.
func (p *process) unexpectedRuns() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.unexpectedExits)
}

// signal sends a signal to the running process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopRequested = p.stopRequested || s == syscall.SIGTERM || s == syscall.SIGKILL
	_ = p.cmd.Process.Signal(s) // the process may have ended already
}

// Times of a reload.
const (
	maxListenWait      = 2 * time.Second       // until a started host accepts connections; otherwise the reload is skipped
	listenPollInterval = 10 * time.Millisecond // between two connection attempts
)

// reload sends SIGHUP once the process accepts connections. In about the first 10 ms of a process
// the signal would end it, because the handler isn't installed yet.
func (p *process) reload() {
	for began := time.Now(); time.Since(began) < maxListenWait; time.Sleep(listenPollInterval) {
		conn, err := net.DialTimeout("tcp", p.callersAddress, listenPollInterval)
		if err != nil {
			continue
		}
		_ = conn.Close() // only probes whether the host accepts connections
		p.signal(syscall.SIGHUP)
		return
	}
}

// addSuspension advances the process's clock by a suspension. The process is stopped during the
// call.
func (p *process) addSuspension(d time.Duration) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.totalSuspended += d
	next := p.suspendedFile + ".next"
	if err := os.WriteFile(next, []byte(p.totalSuspended.String()), 0o600); err != nil {
		return Error.New("suspend %s: %w", p.name, err)
	}
	return Error.Wrap(os.Rename(next, p.suspendedFile))
}

// waitOrKill waits for the end of the process. After the timeout it kills the process and returns
// false.
func (p *process) waitOrKill(timeout time.Duration) bool {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(timeout):
		p.signal(syscall.SIGKILL)
		<-exited
		return false
	}
}

// incarnation returns the name of the current run of the process.
func (p *process) incarnation() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return fmt.Sprintf("%s/%d", p.name, p.starts)
}

// siteCount is the number of sites created in this process.
var siteCount atomic.Uint32

// ownLoopback returns a loopback address that no other site uses, in this process or another
// running one. On a shared address, another site's host or any connection could take the port of a
// host that restarts, and callers would receive that site's answers.
func ownLoopback() string {
	const perByte = 250 // byte values in use, starting at 1
	pid := os.Getpid()
	site := int(siteCount.Add(1))
	return fmt.Sprintf("127.%d.%d.%d", 1+pid/perByte%perByte, 1+pid%perByte, 1+site%perByte)
}

// freePorts returns n different addresses on ip whose ports were free when checked.
func freePorts(ip string, n int) ([]string, error) {
	var all []string
	for range n {
		ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, Error.New("find a free port: %w", err)
		}
		defer func() { _ = ln.Close() }()
		all = append(all, ln.Addr().String())
	}
	return all, nil
}
