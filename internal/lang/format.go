package lang

import (
	"regexp"
	"strconv"
	"strings"
	"time"
)

// bare matches the names that need no quotes.
var bare = regexp.MustCompile(`^[A-Za-z_][A-Za-z0-9_.\-]*$`)

// String returns the statement in its canonical form.
func (s Search) String() string {
	var b strings.Builder
	if s.Service != "" {
		b.WriteString("search service " + name(s.Service))
	} else {
		b.WriteString("search workload " + name(s.Workload))
	}
	b.WriteString(" " + quote(s.Text))
	writeInt(&b, " limit ", s.Limit)
	if s.MinCoverage >= 0 {
		b.WriteString(" min coverage " + strconv.FormatFloat(s.MinCoverage, 'f', -1, 64))
	}
	writeDuration(&b, " budget ", s.Budget)
	return b.String()
}

// String returns the statement in its canonical form.
func (s Reserve) String() string {
	var b strings.Builder
	b.WriteString("reserve " + quote(s.Item) + " in " + name(s.Service))
	if s.ID != "" {
		b.WriteString(" id " + quote(s.ID))
	}
	writeDuration(&b, " budget ", s.Budget)
	return b.String()
}

// String returns the statement in its canonical form.
func (s Show) String() string {
	var b strings.Builder
	b.WriteString("show " + string(s.Subject))
	for i, c := range s.Where {
		b.WriteString(ifElse(i == 0, " where ", " and "))
		b.WriteString(c.Field + ifElse(c.Not, " != ", " = ") + quote(c.Value))
	}
	writeDuration(&b, " since ", s.Since)
	if len(s.By) > 0 {
		b.WriteString(" by " + strings.Join(s.By, ", "))
	}
	writeInt(&b, " limit ", s.Limit)
	return b.String()
}

// String returns the statement in its canonical form.
func (s ShowClaim) String() string { return "show claim " + quote(s.ID) }

// String returns the statement in its canonical form.
func (s CreateService) String() string {
	if len(s.Set) > 0 {
		return "create service " + name(s.Name) + " set " + assignments(s.Set)
	}
	return "create service " + name(s.Name) + " from " + quoteJSON(string(s.JSON))
}

// String returns the statement in its canonical form.
func (s AlterService) String() string {
	return "alter service " + name(s.Name) + " set " + assignments(s.Set) + version(s.Version)
}

// String returns the statement in its canonical form.
func (s DropService) String() string { return "drop service " + name(s.Name) + version(s.Version) }

// String returns the statement in its canonical form.
func (s DrainTarget) String() string { return "drain target " + name(s.Target) + of(s.Service) }

// String returns the statement in its canonical form.
func (s UndrainTarget) String() string { return "undrain target " + name(s.Target) + of(s.Service) }

// String returns the statement in its canonical form.
func (s PublishSnapshot) String() string { return "publish snapshot " + quoteJSON(string(s.JSON)) }

// String returns the statement in its canonical form.
func (s RetireSnapshot) String() string {
	return "retire snapshot " + strconv.FormatUint(s.ID, 10) + " of " + name(s.Workload)
}

// String returns the statement in its canonical form.
func (s DryRun) String() string { return "dry run " + s.Change.String() }

func assignments(set []Assignment) string {
	parts := make([]string, 0, len(set))
	for _, a := range set {
		parts = append(parts, a.Key+" = "+a.Value.String())
	}
	return strings.Join(parts, ", ")
}

func version(v uint64) string { return " at version " + strconv.FormatUint(v, 10) }

func of(service string) string {
	if service == "" {
		return ""
	}
	return " of " + name(service)
}

// name writes a name without quotes where that can't be taken for a keyword.
func name(s string) string {
	if bare.MatchString(s) && !isKeyword(s) {
		return s
	}
	return quote(s)
}

func isKeyword(s string) bool {
	return strings.EqualFold(s, "service") || strings.EqualFold(s, "workload")
}

var escapes = strings.NewReplacer(`\`, `\\`, `"`, `\"`)

// quote writes text in double quotes, as the String token has it.
func quote(s string) string { return `"` + escapes.Replace(s) + `"` }

// unquote reads a String token.
func unquote(s string) string {
	var b strings.Builder
	body := s[1 : len(s)-1]
	for i := 0; i < len(body); i++ {
		if body[i] == '\\' {
			i++
		}
		b.WriteByte(body[i])
	}
	return b.String()
}

// quoteJSON writes JSON in single quotes, which it doubles inside.
func quoteJSON(s string) string { return "'" + strings.ReplaceAll(s, "'", "''") + "'" }

// unquoteJSON reads a JSON token.
func unquoteJSON(s string) string { return strings.ReplaceAll(s[1:len(s)-1], "''", "'") }

// ifElse returns yes if the condition holds, else no.
func ifElse(cond bool, yes, no string) string {
	if cond {
		return yes
	}
	return no
}

func writeInt(b *strings.Builder, label string, n int) {
	if n != 0 {
		b.WriteString(label + strconv.Itoa(n))
	}
}

func writeDuration(b *strings.Builder, label string, d time.Duration) {
	if d != 0 {
		b.WriteString(label + d.String())
	}
}
