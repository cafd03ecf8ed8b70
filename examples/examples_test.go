// Package examples holds settings files for the two sites that the system serves. The files under
// kolkata and nordeste are generated from the same layouts as the stand-ins; "go test ./examples
// -update" writes them. There is no code here beyond the test that generates and checks them.
package examples

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/cli"
	"rhubarbwood.example/rhubarbwood/internal/standin/fixture"
	"rhubarbwood.example/rhubarbwood/internal/standin/target"
)

var update = flag.Bool("update", false, "write the files instead of comparing them")

// site is one installation. Its addresses are on loopback, so that the files can be tried on one
// machine: 127.<net>.0.x for hosts, 127.<net>.1.x for targets.
type site struct {
	net    int
	hosts  int
	layout fixture.Layout
}

func sites() []site {
	return []site{
		{net: 1, hosts: 9, layout: fixture.Kolkata(options(1))},
		{net: 2, hosts: 8, layout: fixture.Nordeste(options(2))},
	}
}

func options(net int) fixture.Options {
	next := 0
	return fixture.Options{Address: func(string) string {
		next++
		return fmt.Sprintf("127.%d.1.%d:9000", net, next)
	}}
}

func (s site) hostID(i int) string {
	n := len(s.layout.Domains)
	return fmt.Sprintf("%s-%d", s.layout.Domains[i%n], i/n+1)
}

func (s site) peer(i int) string { return fmt.Sprintf("127.%d.0.%d:7000", s.net, i+1) }

const hostFile = `// Host %[1]s of %[2]s. What is left out has its default; see ../../host.jsonc.
{
  "host": "%[1]s",
  "failure_domain": "%[3]s",
  "addresses": {
    "callers": "127.%[4]d.0.%[5]d:8080",
    "operators": "127.%[4]d.0.%[5]d:8081",
    "peers": "%[6]s",
  },
  "operators": [{"name": "on-call", "token": "replace-this-token"}],
  "platform": {"addresses": ["127.%[4]d.2.1:9100"]},
  // One host of each failure domain, so that a host that starts while the
  // platform is down finds a peer.
  "member": {"seeds": [%[7]s]},
}
`

func (s site) hostFile(i int) string {
	domains := s.layout.Domains
	seeds := make([]string, len(domains))
	for d := range domains {
		seeds[d] = fmt.Sprintf("%q", s.peer(d))
	}
	return fmt.Sprintf(hostFile, s.hostID(i), s.layout.Name, domains[i%len(domains)], s.net, i+1, s.peer(i), strings.Join(seeds, ", "))
}

const platformFile = `// Stand-in for the platform of %s. It holds the services and snapshots of
// the seed file and forgets everything else when it ends.
{
  "listen": "127.%d.2.1:9100",
  "seed_file": "examples/%[1]s/seeds.json", // from the directory it is started in
  "write_rate": 300,
  "read_rate": 2000,
}
`

// files returns the content of the site's files by path.
func (s site) files(t *testing.T) map[string]string {
	t.Helper()
	dir := s.layout.Name
	files := map[string]string{
		filepath.Join(dir, "platform.jsonc"): fmt.Sprintf(platformFile, dir, s.net),
		filepath.Join(dir, "seeds.json"):     indented(t, s.layout.Seeds()),
	}
	for i := range s.hosts {
		files[filepath.Join(dir, "hosts", s.hostID(i)+".jsonc")] = s.hostFile(i)
	}
	seen := map[string]bool{}
	for _, service := range s.layout.Services {
		if seen[service.Workload] {
			continue
		}
		seen[service.Workload] = true
		for _, c := range s.layout.Targets {
			if c.ID == service.Targets[0].ID {
				head := fmt.Sprintf("// Stand-in for a target of %s.\n", service.Workload)
				files[filepath.Join(dir, "targets", c.ID+".jsonc")] = head + indented(t, sparse(t, c))
			}
		}
	}
	return files
}

// sparse returns the fields of a configuration that differ from their defaults.
func sparse(t *testing.T, c target.Config) map[string]json.RawMessage {
	t.Helper()
	all, defaults := jsonFields(t, c), jsonFields(t, target.DefaultConfig())
	for name, value := range defaults {
		if bytes.Equal(all[name], value) {
			delete(all, name)
		}
	}
	return all
}

func jsonFields(t *testing.T, v any) map[string]json.RawMessage {
	t.Helper()
	text, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	var all map[string]json.RawMessage
	if err := json.Unmarshal(text, &all); err != nil {
		t.Fatal(err)
	}
	return all
}

func indented(t *testing.T, v any) string {
	t.Helper()
	text, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	return string(text) + "\n"
}

func TestFilesAreThoseOfTheTables(t *testing.T) {
	for _, s := range sites() {
		for path, want := range s.files(t) {
			if *update {
				write(t, path, want)
			}
			got, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			if string(got) != want {
				t.Errorf("%s differs; go test ./examples -update", path)
			}
		}
	}
}

func write(t *testing.T, path, text string) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
}

func TestEveryFilePassesCheck(t *testing.T) {
	kinds := map[string][]string{
		"host":     {"host.jsonc", "*/hosts/*.jsonc"},
		"gateway":  {"gateway.jsonc"},
		"platform": {"*/platform.jsonc"},
		"target":   {"*/targets/*.jsonc"},
	}
	counts := map[string]int{"host": 1 + 9 + 8, "gateway": 1, "platform": 2, "target": 8}
	for kind, patterns := range kinds {
		t.Run(kind, func(t *testing.T) {
			is := is.New(t)
			args := []string{"check", "--kind", kind}
			for _, pattern := range patterns {
				matches, err := filepath.Glob(pattern)
				is.NoErr(err)
				args = append(args, matches...)
			}
			is.Equal(len(args)-3, counts[kind])
			var out, errs bytes.Buffer
			code := cli.Run(cli.Env{In: strings.NewReader(""), Out: &out, Err: &errs}, args)
			is.Equal(errs.String(), "")
			is.Equal(code, cli.ExitOK)
		})
	}
}

// Each failure domain of a site has at least two hosts.
func TestEveryFailureDomainHasAHost(t *testing.T) {
	is := is.New(t)
	for _, s := range sites() {
		for _, domain := range s.layout.Domains {
			matches, err := filepath.Glob(filepath.Join(s.layout.Name, "hosts", domain+"-*.jsonc"))
			is.NoErr(err)
			is.True(len(matches) >= 2)
		}
	}
}
