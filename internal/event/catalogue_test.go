package event_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// logCall is a call in the source that writes a log line of an event.
type logCall struct {
	event  string // name of the event variable
	fields []string
	at     token.Position
}

// definition is one call of Define.
type definition struct {
	number int
	fields []string
	at     token.Position
}

// TestLinesCarryTheirFields checks that each log call writes exactly the fields
// that its event declares, so that the catalogue is correct. It parses the
// source; log lines that are built in several statements are not checked.
func TestLinesCarryTheirFields(t *testing.T) {
	files := token.NewFileSet()
	dirs := map[string][]*ast.File{}
	err := filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		f, err := parser.ParseFile(files, path, nil, 0)
		dirs[filepath.Dir(path)] = append(dirs[filepath.Dir(path)], f)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	checked := 0
	for _, dir := range dirs {
		defined := findDefinitions(files, dir)
		for _, u := range findLogCalls(files, dir) {
			d, known := defined[u.event]
			if !known {
				continue
			}
			checked++
			slices.Sort(u.fields)
			if !slices.Equal(u.fields, d.fields) {
				t.Errorf("%s: log line of event %d has the fields %v; %s declares %v", u.at, d.number, u.fields, d.at, d.fields)
			}
		}
	}
	if checked == 0 {
		t.Fatal("no log call was checked")
	}
}

// findDefinitions returns the events that the files define, by variable name.
func findDefinitions(files *token.FileSet, dir []*ast.File) map[string]definition {
	all := map[string]definition{}
	for _, f := range dir {
		ast.Inspect(f, func(n ast.Node) bool {
			v, ok := n.(*ast.ValueSpec)
			if !ok || len(v.Values) != 1 {
				return true
			}
			call, ok := v.Values[0].(*ast.CallExpr)
			if !ok || methodName(call) != "Define" || len(call.Args) < 5 {
				return true
			}
			number, _ := strconv.Atoi(literalText(call.Args[0]))
			d := definition{number: number, fields: []string{}, at: files.Position(v.Pos())}
			for _, a := range call.Args[5:] {
				d.fields = append(d.fields, literalText(a))
			}
			slices.Sort(d.fields)
			all[v.Names[0].Name] = d
			return true
		})
	}
	return all
}

// findLogCalls returns the call chains such as log.Event(ev).Str("a", x).Err(err).Msg("").
func findLogCalls(files *token.FileSet, dir []*ast.File) []logCall {
	var all []logCall
	for _, f := range dir {
		ast.Inspect(f, func(n ast.Node) bool {
			call, ok := n.(*ast.CallExpr)
			if !ok || methodName(call) != "Msg" {
				return true
			}
			if u, parsed := parseLogChain(call); parsed {
				u.at = files.Position(call.Pos())
				all = append(all, u)
			}
			return true
		})
	}
	return all
}

// parseLogChain reads a call chain backwards from its Msg call. It reports false
// if the chain does not begin with Event of a variable.
func parseLogChain(end *ast.CallExpr) (logCall, bool) {
	u := logCall{fields: []string{}}
	for call := end; ; {
		s, ok := call.Fun.(*ast.SelectorExpr)
		if !ok {
			return u, false
		}
		switch s.Sel.Name {
		case "Msg":
		case "Event":
			name, ok := call.Args[0].(*ast.Ident)
			if ok {
				u.event = name.Name
			}
			return u, ok
		case "Err":
			u.fields = append(u.fields, "error")
		default:
			u.fields = append(u.fields, literalText(call.Args[0]))
		}
		call, ok = s.X.(*ast.CallExpr)
		if !ok {
			return u, false
		}
	}
}

// methodName returns the name of the called method or package function, or "".
func methodName(call *ast.CallExpr) string {
	if s, ok := call.Fun.(*ast.SelectorExpr); ok {
		return s.Sel.Name
	}
	return ""
}

// literalText returns the value of a literal, unquoted, or "" for other
// expressions.
func literalText(e ast.Expr) string {
	l, ok := e.(*ast.BasicLit)
	if !ok {
		return ""
	}
	if s, err := strconv.Unquote(l.Value); err == nil {
		return s
	}
	return l.Value
}
