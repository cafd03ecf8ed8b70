package host

import (
	"flag"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path"
	"path/filepath"
	"reflect"
	"regexp"
	"sort"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"rhubarbwood.example/rhubarbwood/internal/event"
	"rhubarbwood.example/rhubarbwood/internal/settings"
)

var update = flag.Bool("update", false, "write the generated pages before comparing them")

const docsDir = "../../docs/"

// checkPage checks that the page has the text generated from the code. With
// -update, as used by "make docs", it writes the page first.
func checkPage(t *testing.T, name, want string) {
	t.Helper()
	if *update {
		if err := os.WriteFile(docsDir+name, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(docsDir + name)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != want {
		t.Errorf("docs/%s differs from the code; run make docs", name)
	}
}

const metricsHead = `# Metrics

Every host serves them at ` + "`/metrics`" + ` of its operators' listener, together with the ` + "`go_` and `process_`" + ` metrics of
the client library. Names that end in ` + "`_total`" + ` are counters; histograms have ` + "`_bucket`, `_sum` and `_count`" + `. This page
is made from the code (` + "`make docs`" + `); a test holds the two together.

| Metric | Labels | Meaning |
|--------|--------|---------|
`

var description = regexp.MustCompile(`^Desc\{fqName: "(.*)", help: "(.*?)"(?:, unit: ".*?")?, constLabels: \{.*\}, variableLabels: \{(.*)\}\}$`)

func TestMetricsPage(t *testing.T) {
	is := is.New(t)
	s := loadOnFreePorts(t)
	h, err := New(s, event.Discard())
	is.NoErr(err)
	defer h.listeners.close()
	var lines []string
	for _, d := range descriptions(h.metrics) {
		m := description.FindStringSubmatch(d)
		is.True(m != nil) // the String format of prometheus.Desc
		if strings.HasPrefix(m[1], "go_") || strings.HasPrefix(m[1], "process_") {
			continue
		}
		is.True(strings.HasPrefix(m[1], "rhubarbwood_"))
		is.True(m[2] != "") // every metric has a help text
		lines = append(lines, fmt.Sprintf("| %s | %s | %s |\n", m[1], strings.ReplaceAll(m[3], ",", ", "), m[2]))
	}
	sort.Strings(lines)
	checkPage(t, "METRICS.md", metricsHead+strings.Join(lines, ""))
}

// descriptions returns the descriptions of all metrics in the registry.
func descriptions(r *prometheus.Registry) []string {
	ch := make(chan *prometheus.Desc)
	go func() {
		r.Describe(ch)
		close(ch)
	}()
	var all []string
	for d := range ch {
		all = append(all, d.String())
	}
	return all
}

const settingsHead = `# Settings of a host

A settings file is JSON with comments and trailing commas; ` + "`rhubarbwood check FILE`" + ` reports every problem with its place
and prints the settings in effect. Times are strings with a unit, such as "250ms". [examples/host.jsonc](../examples/host.jsonc)
is a sample with comments. On SIGHUP the file is read again and the log level taken from it; all else needs a restart.
This page is made from the code (` + "`make docs`" + `); a test holds the two together.

| Field | Type | Default | Meaning |
|-------|------|---------|---------|
`

func TestSettingsPage(t *testing.T) {
	p := settingsPage{comments: map[string]string{}, parsedDirs: map[string]bool{}}
	p.add(t, "", reflect.ValueOf(DefaultSettings()))
	checkPage(t, "SETTINGS.md", settingsHead+p.text.String())
}

// settingsPage builds the table of the fields of a settings type, with their
// comments in the source as the meaning.
type settingsPage struct {
	text       strings.Builder
	comments   map[string]string // by directory, type and field
	parsedDirs map[string]bool
}

// add adds the rows of the fields of v, a struct at the path prefix.
func (p *settingsPage) add(t *testing.T, prefix string, v reflect.Value) {
	t.Helper()
	for i := range v.NumField() {
		f := v.Type().Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		at := prefix + name
		switch {
		case f.Type.Kind() == reflect.Struct:
			p.add(t, at+".", v.Field(i))
		case f.Type.Kind() == reflect.Slice && f.Type.Elem().Kind() == reflect.Struct:
			p.add(t, at+"[].", reflect.New(f.Type.Elem()).Elem())
		default:
			meaning := p.comment(t, v.Type(), f.Name)
			if meaning == "" {
				t.Errorf("%s.%s has no comment", v.Type(), f.Name)
			}
			fmt.Fprintf(&p.text, "| `%s` | %s | %s | %s |\n", at, typeName(f.Type), defaultOf(v.Field(i)), meaning)
		}
	}
}

// typeName returns the name of the type as shown on the page.
func typeName(t reflect.Type) string {
	switch {
	case t.Name() == "Duration":
		return "time"
	case t.Kind() == reflect.Slice:
		return "array of " + typeName(t.Elem()) + "s"
	case t.Kind() == reflect.String:
		return "string"
	case t.Kind() == reflect.Bool:
		return "true or false"
	case t.Kind() == reflect.Float64:
		return "number"
	}
	return "whole number"
}

// defaultOf returns the default value as shown on the page; empty for a secret
// and for the zero value of any type but int.
func defaultOf(v reflect.Value) string {
	if _, secret := v.Interface().(settings.Secret); secret || v.IsZero() && v.Kind() != reflect.Int {
		return ""
	}
	return fmt.Sprint(v.Interface())
}

// comment returns the doc or line comment of a field as one line.
func (p *settingsPage) comment(t *testing.T, owner reflect.Type, field string) string {
	t.Helper()
	dir := "../" + path.Base(owner.PkgPath())
	if !p.parsedDirs[dir] {
		p.parsedDirs[dir] = true
		p.readDir(t, dir)
	}
	return p.comments[dir+"."+owner.Name()+"."+field]
}

// readDir reads the field comments of all structs in a directory.
func (p *settingsPage) readDir(t *testing.T, dir string) {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(dir, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range files {
		f, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.ParseComments)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(f, func(n ast.Node) bool {
			if s, ok := n.(*ast.TypeSpec); ok {
				p.readStruct(dir+"."+s.Name.Name+".", s.Type)
			}
			return true
		})
	}
}

// readStruct reads the field comments of a struct type.
func (p *settingsPage) readStruct(prefix string, e ast.Expr) {
	s, ok := e.(*ast.StructType)
	if !ok {
		return
	}
	text := "" // a field without a comment has that of the previous field
	for _, f := range s.Fields.List {
		if own := f.Doc.Text() + f.Comment.Text(); own != "" {
			text = own
		}
		for _, name := range f.Names {
			p.comments[prefix+name.Name] = strings.ReplaceAll(useJSONNames(s, strings.Join(strings.Fields(text), " ")), "|", "or")
		}
	}
}

var jsonTag = regexp.MustCompile(`json:"(\w+)`)

// useJSONNames replaces the Go names of the fields in the text by their names in
// the settings file.
func useJSONNames(s *ast.StructType, text string) string {
	for _, f := range s.Fields.List {
		if f.Tag == nil || len(f.Names) == 0 {
			continue
		}
		if m := jsonTag.FindStringSubmatch(f.Tag.Value); m != nil {
			text = regexp.MustCompile(`\b`+f.Names[0].Name+`\b`).ReplaceAllString(text, "`"+m[1]+"`")
		}
	}
	return text
}
