package e2e

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// waitTimeout bounds every wait, so that a broken build fails instead of hanging.
const waitTimeout = 30 * time.Second

var binary string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "rhubarbwood-e2e-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binary = filepath.Join(dir, "rhubarbwood")
	build := exec.Command("go", "build", "-o", binary, "rhubarbwood.example/rhubarbwood/cmd/rhubarbwood")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// process is one running process of the binary.
type process struct {
	name  string
	cmd   *exec.Cmd
	lines chan string // standard output, by line
	log   syncBuffer  // standard error
	ended chan struct{}
	err   error // result of Wait, set before ended is closed
}

// syncBuffer is a buffer that a process writes while a test reads it.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write appends to the buffer.
func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

// String returns the content of the buffer.
func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

// start starts the binary. At the end of the test the process is killed if it is still running,
// and its log is printed if the test failed.
func start(t *testing.T, name string, args ...string) *process {
	t.Helper()
	p := &process{name: name, cmd: exec.Command(binary, args...), lines: make(chan string, 16), ended: make(chan struct{})}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	p.cmd.Stderr = &p.log
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go p.read(out)
	t.Cleanup(func() { p.cleanup(t) })
	return p
}

// read reads the output to its end before calling Wait, which closes the pipe.
func (p *process) read(out io.Reader) {
	for s := bufio.NewScanner(out); s.Scan(); {
		p.lines <- s.Text()
	}
	close(p.lines)
	p.err = p.cmd.Wait()
	close(p.ended)
}

func (p *process) cleanup(t *testing.T) {
	_ = p.cmd.Process.Kill() // fails if the process has ended, as expected
	<-p.ended
	if t.Failed() {
		t.Logf("log of %s:\n%s", p.name, p.log.String())
	}
}

// lineWithPrefix waits for the next line of standard output that begins with the word and returns
// the rest of the line.
func (p *process) lineWithPrefix(t *testing.T, word string) string {
	t.Helper()
	timeout := time.After(waitTimeout)
	for {
		select {
		case line, open := <-p.lines:
			if !open {
				t.Fatalf("%s ended before printing %q:\n%s", p.name, word, p.log.String())
			}
			if rest, ok := strings.CutPrefix(line, word+" "); ok {
				return rest
			}
		case <-timeout:
			t.Fatalf("%s did not print %q:\n%s", p.name, word, p.log.String())
		}
	}
}

func (p *process) signal(t *testing.T, s os.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		t.Fatalf("signal %s: %v", p.name, err)
	}
}

// exitCode waits for the end of the process.
func (p *process) exitCode(t *testing.T) int {
	t.Helper()
	select {
	case <-p.ended:
	case <-time.After(waitTimeout):
		t.Fatalf("%s did not end:\n%s", p.name, p.log.String())
	}
	return code(t, p.err)
}

// stop sends the stop signal and returns the exit code.
func (p *process) stop(t *testing.T) int {
	t.Helper()
	p.signal(t, syscall.SIGTERM)
	return p.exitCode(t)
}

func code(t *testing.T, err error) int {
	t.Helper()
	var exit *exec.ExitError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &exit):
		return exit.ExitCode()
	}
	t.Fatal(err)
	return -1
}

// output is the result of a command that ends by itself.
type output struct {
	code     int
	out, err string
}

// run runs the binary until it ends.
func run(t *testing.T, args ...string) output {
	t.Helper()
	var out, errs bytes.Buffer
	cmd := exec.Command(binary, args...)
	cmd.Stdout, cmd.Stderr = &out, &errs
	err := cmd.Run()
	return output{code(t, err), out.String(), errs.String()}
}

// waitUntil polls the condition until it holds, and fails the test after waitTimeout.
func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for: %s", what)
		}
		time.Sleep(10 * time.Millisecond) // polling interval; no assertion depends on it
	}
}
