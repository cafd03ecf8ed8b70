package e2e

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"
	"github.com/oklog/ulid/v2"

	"rhubarbwood.example/rhubarbwood/internal/cli"
	"rhubarbwood.example/rhubarbwood/internal/standin/objectstore"
)

const hostsOfSite = 3

type answer struct {
	RequestID string `json:"request_id"`
	Workload  string `json:"workload"`
	Snapshot  uint64 `json:"snapshot"`
	Rows      []struct {
		Service string `json:"service"`
		Shard   uint32 `json:"shard"`
		Key     string `json:"key"`
	} `json:"rows"`
	TotalRows int `json:"total_rows"`
	Coverage  struct {
		Shards   int      `json:"shards"`
		Answered int      `json:"answered"`
		Complete bool     `json:"complete"`
		Missing  []string `json:"missing"`
	} `json:"coverage"`
	Attempts int `json:"attempts"`
	Needed   int `json:"needed"`
}

// post sends a caller's request with additional headers, given as names and values, and returns
// the response and its body.
func (h *host) post(t *testing.T, path, requestID, body string, headers ...string) (*http.Response, []byte) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+h.callers+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("X-Request-Id", requestID)
	req.Header.Set("X-Caller", "shop-1")
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var b bytes.Buffer
	if _, err := b.ReadFrom(resp.Body); err != nil {
		t.Fatal(err)
	}
	return resp, b.Bytes()
}

// TestWholePath starts a platform stand-in, eight targets and three hosts as separate processes
// and makes a workload search and a reservation through every host.
func TestWholePath(t *testing.T) {
	s := startSite(t, hostsOfSite)
	t.Run("search", func(t *testing.T) {
		for _, h := range s.hosts {
			h.checkSearch(t)
		}
	})
	t.Run("reserve", s.checkReservation)
	t.Run("exec", s.checkExec)
	t.Run("bad input", s.checkBadInput)
	t.Run("clean exits", s.checkExits)
}

// checkSearch searches two services of three targets each as one workload.
func (h *host) checkSearch(t *testing.T) {
	is := is.New(t)
	resp, body := h.post(t, "/v1/search", "search-1", `{"workload": "guest-portal", "text": "", "limit": 0}`)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(resp.Header.Get("X-Request-Id"), "search-1")
	var a answer
	is.NoErr(json.Unmarshal(body, &a))
	is.Equal(a.RequestID, "search-1")
	is.Equal(a.Workload, "guest-portal")
	is.Equal(a.Snapshot, uint64(1))
	is.Equal(a.Coverage.Shards, 12) // two services with six shards each
	is.Equal(a.Coverage.Answered, 12)
	is.True(a.Coverage.Complete)
	is.Equal(len(a.Coverage.Missing), 0)
	is.Equal(len(a.Rows), a.TotalRows)
	is.True(a.Attempts >= a.Needed)
	shards := map[string]bool{}
	for _, r := range a.Rows {
		shards[r.Service+"/"+string(rune('0'+r.Shard))] = true
	}
	is.Equal(len(shards), 12) // every shard returned rows
}

// checkReservation repeats one reservation at all hosts.
func (s *site) checkReservation(t *testing.T) {
	is := is.New(t)
	id := ulid.Make().String()
	body := `{"reservation_id": "` + id + `", "service": "reservation-desk", "item": "pressure-cooker"}`
	var first string
	for i, h := range s.hosts {
		resp, got := h.post(t, "/v1/reservations", "reserve-"+h.name, body)
		is.Equal(resp.StatusCode, http.StatusOK)
		var r struct {
			RequestID     string `json:"request_id"`
			ReservationID string `json:"reservation_id"`
			Granted       bool   `json:"granted"`
			Answer        string `json:"answer"`
			Repeated      bool   `json:"repeated"`
		}
		is.NoErr(json.Unmarshal(got, &r))
		is.Equal(r.RequestID, "reserve-"+h.name)
		is.Equal(r.ReservationID, id)
		is.True(r.Granted)
		is.Equal(r.Repeated, i > 0)
		if i == 0 {
			first = r.Answer
		}
		is.Equal(r.Answer, first) // a repeat returns the same answer
	}
	is.Equal(len(s.executions(t)[id]), 1) // in the targets' execution logs
}

func (s *site) checkExec(t *testing.T) {
	is := is.New(t)
	h := s.hosts[0]
	exec := func(args ...string) output {
		return run(t, append([]string{"exec", "--entry", h.callers, "--operators", h.operators, "--token", token}, args...)...)
	}
	r := exec(`search workload guest-portal "" limit 2`)
	is.Equal(r.err, "")
	is.Equal(r.code, cli.ExitOK)
	is.True(strings.Contains(r.out, "coverage 12 of 12 shards: complete"))

	r = exec(`reserve "rice-cooker" in reservation-desk`)
	is.Equal(r.err, "")
	is.Equal(r.code, cli.ExitOK)
	is.True(strings.HasPrefix(r.out, "granted by target "))

	r = exec("show hosts")
	is.Equal(r.err, "")
	is.Equal(r.code, cli.ExitOK)
	for _, h := range s.hosts {
		is.True(strings.Contains(r.out, h.name))
	}

	r = exec("--output", "json", `search service no-such-service "x"`)
	is.Equal(r.code, cli.ExitFailed)
	is.True(strings.Contains(r.out, `"reason": "unknown_service"`))

	is.Equal(exec("show hots").code, cli.ExitUsage)
	is.Equal(run(t, "exec", "--operators", h.operators, "--token", "wrong", "show hosts").code, cli.ExitFailed)
}

// checkBadInput checks that each invalid request gets a specific status and reason and does not
// run.
func (s *site) checkBadInput(t *testing.T) {
	tests := map[string]struct {
		path, body, reason string
		status             int
		budget             string
	}{
		"unknown service":   {"/v1/search", `{"service": "nobody"}`, "unknown_service", http.StatusNotFound, ""},
		"malformed":         {"/v1/search", `{"service": `, "bad_request", http.StatusBadRequest, ""},
		"unknown field":     {"/v1/search", `{"servise": "guest-portal-01"}`, "bad_request", http.StatusBadRequest, ""},
		"body too large":    {"/v1/search", `{"text": "` + strings.Repeat("x", 1<<17) + `"}`, "too_large", http.StatusRequestEntityTooLarge, ""},
		"bad reservation":   {"/v1/reservations", `{"reservation_id": "x", "service": "reservation-desk", "item": "i"}`, "bad_request", http.StatusBadRequest, ""},
		"neither is named":  {"/v1/search", `{}`, "bad_request", http.StatusBadRequest, ""},
		"budget run out":    {"/v1/search", `{"service": "guest-portal-01"}`, "budget_exhausted", http.StatusRequestTimeout, "0"},
		"negative coverage": {"/v1/search", `{"service": "guest-portal-01", "min_coverage": -1}`, "bad_request", http.StatusBadRequest, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			resp, body := s.hosts[0].post(t, test.path, "bad-1", test.body, "X-Budget-Ms", cmp.Or(test.budget, "500"))
			is.Equal(resp.StatusCode, test.status)
			var r struct {
				Reason    string `json:"reason"`
				NotRun    bool   `json:"not_run"`
				RequestID string `json:"request_id"`
				Detail    string `json:"detail"`
			}
			is.NoErr(json.Unmarshal(body, &r))
			is.Equal(r.Reason, test.reason)
			is.True(r.NotRun)
			is.Equal(r.RequestID, "bad-1")
			is.True(r.Detail != "")
		})
	}
}

// checkExits stops every process. A second signal must not disturb the stop.
func (s *site) checkExits(t *testing.T) {
	is := is.New(t)
	for _, h := range s.hosts {
		h.signal(t, syscall.SIGTERM)
		h.signal(t, os.Interrupt)
		is.Equal(h.exitCode(t), cli.ExitOK)
		is.True(strings.Contains(h.log.String(), "host_stopped"))
	}
	for _, p := range append(s.targets, s.platform) {
		is.Equal(p.stop(t), cli.ExitOK)
	}
}

// A settings file with several errors must be refused with the position of each error, and nothing
// is started.
func TestWrongSettings(t *testing.T) {
	is := is.New(t)
	s := &site{dir: t.TempDir()}
	file := s.writeText(t, "host.jsonc", `{
  "host": "a-1",
  "unknown": true,
  "addresses": {"callers": "127.0.0.1:0", "peers": "127.0.0.1:0"},
  "stop": {"balancer_lag": "5 parsecs"},
  "platform": {"addresses": ["127.0.0.1:9"]},
}`)
	for _, command := range [][]string{{"serve", "--settings", file}, {"check", file}} {
		r := run(t, command...)
		is.Equal(r.code, cli.ExitUsage)
		is.Equal(r.out, "")
		for _, want := range []string{
			file + ":3:3: unknown: unknown field",
			file + ":4:16: addresses.operators: address is missing",
			file + ":5:28: stop.balancer_lag: ",
			file + ":1:1: failure_domain: ",
		} {
			is.True(strings.Contains(r.err, want))
		}
		is.Equal(strings.Count(r.err, file), 4) // one line per error
	}
}

// Two hosts can't have the same address: the second must exit with an error.
func TestAddressInUse(t *testing.T) {
	is := is.New(t)
	s := &site{dir: t.TempDir()}
	platform := s.startPlatform(t, objectstore.Seeds{})
	h := s.startHost(t, 0, "salt-lake", platform)
	file := s.writeText(t, "second.jsonc", `{"host": "b", "failure_domain": "b", "platform": {"addresses": ["`+platform+`"]},
"addresses": {"callers": "`+h.callers+`", "operators": "`+h.operators+`", "peers": "`+h.peers+`"}}`)
	r := run(t, "serve", "--settings", file)
	is.Equal(r.code, cli.ExitFailed)
	for _, field := range []string{"callers", "operators", "peers"} {
		is.True(strings.Contains(r.err, "listen for "+field))
	}
	is.Equal(h.stop(t), cli.ExitOK)
}

const shortStop = `{
  "host": "a-1",
  "failure_domain": "a",
  "addresses": {"callers": "127.0.0.1:0", "operators": "127.0.0.1:0", "peers": "127.0.0.1:0"},
  "entry": {"max_budget": "100ms"},
  "stop": {"balancer_lag": "10ms", "module_timeout": "150ms", "hard_limit": "1s"},
  "delivery": {"stop_timeout": "100ms"},
  "platform": {"addresses": ["%s"]},
}`

// A stop must work during an outage of the platform and report the windows that it lost.
func TestStopWithoutPlatform(t *testing.T) {
	is := is.New(t)
	s := &site{dir: t.TempDir()}
	file := s.writeText(t, "host.jsonc", fmt.Sprintf(shortStop, s.startPlatform(t, objectstore.Seeds{})))
	h := start(t, "a-1", "serve", "--settings", file)
	h.lineWithPrefix(t, "started")
	is.Equal(s.platform.stop(t), cli.ExitOK)
	is.Equal(h.stop(t), cli.ExitOK)
	is.True(strings.Contains(h.log.String(), `"name":"delivery_final_window_lost"`))
	is.True(strings.Contains(h.log.String(), `"name":"host_stopped"`))
}

// SIGHUP must reload the settings; an invalid file must change nothing.
func TestReload(t *testing.T) {
	is := is.New(t)
	s := &site{dir: t.TempDir()}
	text := fmt.Sprintf(shortStop, s.startPlatform(t, objectstore.Seeds{}))
	file := s.writeText(t, "host.jsonc", text)
	h := start(t, "a-1", "serve", "--settings", file)
	h.lineWithPrefix(t, "started")
	logged := func(what string) func() bool {
		return func() bool { return strings.Contains(h.log.String(), what) }
	}

	s.writeText(t, "host.jsonc", strings.Replace(text, `"host"`, `"log": {"level": "debug"}, "host"`, 1))
	h.signal(t, syscall.SIGHUP)
	waitUntil(t, "the level is in force", logged(`"name":"settings_reloaded","level":"debug"`))
	s.writeText(t, "host.jsonc", `{"host": 1}`)
	h.signal(t, syscall.SIGHUP)
	waitUntil(t, "the file is refused", logged(`"name":"settings_reload_refused"`))
	is.Equal(h.stop(t), cli.ExitOK)
	is.True(logged(`"name":"module_stopped"`)()) // a debug-level line
}
