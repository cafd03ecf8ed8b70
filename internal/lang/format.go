package lang

import (
	"regexp"
	"strconv"
	"strings"
	"time"
)

// bareName matches the names that may be written without quotes.
var bareName = regexp.MustCompile(`^[A-Za-z_][A-Za-z0-9_.\-]*$`)

// String returns the statement in its canonical form.
func (s Search) String() string {
	var b strings.Builder
	if s.Service != "" {
		b.WriteString("search service " + formatName(s.Service))
	} else {
		b.WriteString("search workload " + formatName(s.Workload))
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
	b.WriteString("reserve " + quote(s.Item) + " in " + formatName(s.Service))
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
		return "create service " + formatName(s.Name) + " set " + formatAssignments(s.Set)
	}
	return "create service " + formatName(s.Name) + " from " + quoteJSON(string(s.JSON))
}

// String returns the statement in its canonical form.
func (s AlterService) String() string {
	return "alter service " + formatName(s.Name) + " set " + formatAssignments(s.Set) + formatAtVersion(s.Version)
}

// String returns the statement in its canonical form.
func (s DropService) String() string {
	return "drop service " + formatName(s.Name) + formatAtVersion(s.Version)
}

// String returns the statement in its canonical form.
func (s DrainTarget) String() string {
	return "drain target " + formatName(s.Target) + formatOfService(s.Service)
}

// String returns the statement in its canonical form.
func (s UndrainTarget) String() string {
	return "undrain target " + formatName(s.Target) + formatOfService(s.Service)
}

// String returns the statement in its canonical form.
func (s PublishSnapshot) String() string { return "publish snapshot " + quoteJSON(string(s.JSON)) }

// String returns the statement in its canonical form.
func (s RetireSnapshot) String() string {
	return "retire snapshot " + strconv.FormatUint(s.ID, 10) + " of " + formatName(s.Workload)
}

// String returns the statement in its canonical form.
func (s DryRun) String() string { return "dry run " + s.Change.String() }

// formatAssignments formats assignments as a comma-separated list.
func formatAssignments(set []Assignment) string {
	parts := make([]string, 0, len(set))
	for _, a := range set {
		parts = append(parts, a.Key+" = "+a.Value.String())
	}
	return strings.Join(parts, ", ")
}

func formatAtVersion(v uint64) string { return " at version " + strconv.FormatUint(v, 10) }

func formatOfService(service string) string {
	if service == "" {
		return ""
	}
	return " of " + formatName(service)
}

// formatName formats a name, in quotes if it contains other characters than
// bareName allows or would be parsed as a keyword.
func formatName(s string) string {
	if bareName.MatchString(s) && !isKeyword(s) {
		return s
	}
	return quote(s)
}

// isKeyword reports whether s is a keyword that the grammar allows in place of a
// name.
func isKeyword(s string) bool {
	return strings.EqualFold(s, "service") || strings.EqualFold(s, "workload")
}

var stringEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`)

// quote formats text as a String token, in double quotes.
func quote(s string) string { return `"` + stringEscaper.Replace(s) + `"` }

// unquote returns the text of a String token.
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

// quoteJSON formats JSON as a JSON token, in single quotes, with the single quotes
// inside doubled.
func quoteJSON(s string) string { return "'" + strings.ReplaceAll(s, "'", "''") + "'" }

// unquoteJSON returns the text of a JSON token.
func unquoteJSON(s string) string { return strings.ReplaceAll(s[1:len(s)-1], "''", "'") }

// ifElse returns yes if cond is true, and no otherwise.
func ifElse(cond bool, yes, no string) string {
	if cond {
		return yes
	}
	return no
}

// writeInt writes the label and n, or nothing if n is 0.
func writeInt(b *strings.Builder, label string, n int) {
	if n != 0 {
		b.WriteString(label + strconv.Itoa(n))
	}
}

// writeDuration writes the label and d, or nothing if d is 0.
func writeDuration(b *strings.Builder, label string, d time.Duration) {
	if d != 0 {
		b.WriteString(label + d.String())
	}
}
