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

// use is one place of the code that writes a line of an event.
type use struct {
	event  string // variable
	fields []string
	at     token.Position
}

// definition is one call of Define.
type definition struct {
	number int
	fields []string
	at     token.Position
}

// Every line of log carries the fields that its event declares, no more and
// no fewer, so that the catalogue tells the truth. Lines that are built over
// several statements can't be followed and are left out.
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
		defined := definitions(files, dir)
		for _, u := range usesOf(files, dir) {
			d, known := defined[u.event]
			if !known {
				continue
			}
			checked++
			slices.Sort(u.fields)
			if !slices.Equal(u.fields, d.fields) {
				t.Errorf("%s: line of event %d carries %v; %s declares %v", u.at, d.number, u.fields, d.at, d.fields)
			}
		}
	}
	if checked == 0 {
		t.Fatal("no line was checked")
	}
}

func definitions(files *token.FileSet, dir []*ast.File) map[string]definition {
	all := map[string]definition{}
	for _, f := range dir {
		ast.Inspect(f, func(n ast.Node) bool {
			v, ok := n.(*ast.ValueSpec)
			if !ok || len(v.Values) != 1 {
				return true
			}
			call, ok := v.Values[0].(*ast.CallExpr)
			if !ok || selector(call) != "Define" || len(call.Args) < 5 {
				return true
			}
			number, _ := strconv.Atoi(literal(call.Args[0]))
			d := definition{number: number, fields: []string{}, at: files.Position(v.Pos())}
			for _, a := range call.Args[5:] {
				d.fields = append(d.fields, literal(a))
			}
			slices.Sort(d.fields)
			all[v.Names[0].Name] = d
			return true
		})
	}
	return all
}

// usesOf finds chains such as log.Event(ev).Str("a", x).Err(err).Msg("").
func usesOf(files *token.FileSet, dir []*ast.File) []use {
	var all []use
	for _, f := range dir {
		ast.Inspect(f, func(n ast.Node) bool {
			call, ok := n.(*ast.CallExpr)
			if !ok || selector(call) != "Msg" {
				return true
			}
			if u, whole := chain(call); whole {
				u.at = files.Position(call.Pos())
				all = append(all, u)
			}
			return true
		})
	}
	return all
}

func chain(end *ast.CallExpr) (use, bool) {
	u := use{fields: []string{}}
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
			u.fields = append(u.fields, literal(call.Args[0]))
		}
		call, ok = s.X.(*ast.CallExpr)
		if !ok {
			return u, false
		}
	}
}

func selector(call *ast.CallExpr) string {
	if s, ok := call.Fun.(*ast.SelectorExpr); ok {
		return s.Sel.Name
	}
	return ""
}

func literal(e ast.Expr) string {
	l, ok := e.(*ast.BasicLit)
	if !ok {
		return ""
	}
	if s, err := strconv.Unquote(l.Value); err == nil {
		return s
	}
	return l.Value
}
