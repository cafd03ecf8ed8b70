package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"

	"rhubarbwood.example/rhubarbwood/gen/operate"
	"rhubarbwood.example/rhubarbwood/gen/query"
	"rhubarbwood.example/rhubarbwood/internal/lang"
)

const outputJSON = "json"

type execCommand struct {
	env       Env
	Entry     string        `long:"entry" env:"RHUBARBWOOD_ENTRY" default:"127.0.0.1:8080" description:"Callers' API of a host"`
	Operators string        `long:"operators" env:"RHUBARBWOOD_OPERATORS" default:"127.0.0.1:8081" description:"Operators' API of a host"`
	Token     string        `long:"token" env:"RHUBARBWOOD_TOKEN" description:"Operator token; better in the environment, as arguments can be seen by others"`
	Caller    string        `long:"caller" default:"exec" description:"Caller's name"`
	RequestID string        `long:"request-id" description:"Request id; made by the host if absent"`
	Timeout   time.Duration `long:"timeout" default:"30s" description:"Longest wait for one answer"`
	Output    string        `long:"output" choice:"text" choice:"json" default:"text" description:"Form of the answers"`
	File      string        `short:"f" long:"file" description:"Read statements from a file"`
	Args      struct {
		Statement []string `positional-arg-name:"STATEMENT" description:"Statements set apart by semicolons, or - for standard input"`
	} `positional-args:"yes"`
}

// Execute runs the statements in order and stops at the first that is not
// done. None is sent if one of them can't be read.
func (c *execCommand) Execute([]string) error {
	text, err := c.text()
	if err != nil {
		return err
	}
	statements, err := lang.ParseAll(text)
	if err != nil {
		return fail(ExitUsage, "%s", err)
	}
	if len(statements) == 0 {
		return fail(ExitUsage, "no statement given")
	}
	client := newClient(c.Entry, c.Operators, c.Timeout)
	for i, s := range statements {
		if err := c.run(client, s); err != nil {
			return withRest(err, len(statements)-i-1)
		}
	}
	return nil
}

// withRest adds how many statements were not reached.
func withRest(err error, rest int) error {
	var exit *exitError
	if rest == 0 || !errors.As(err, &exit) {
		return err
	}
	return fail(exit.code, "%s\nstatements not run after this one: %d", exit.text, rest)
}

func (c *execCommand) text() (string, error) {
	given := strings.Join(c.Args.Statement, " ")
	switch {
	case c.File != "" && given != "":
		return "", fail(ExitUsage, "give a statement or a file, not both")
	case c.File != "":
		text, err := os.ReadFile(c.File)
		if err != nil {
			return "", fail(ExitUsage, "read statements: %s", err)
		}
		return string(text), nil
	case given == "-":
		text, err := io.ReadAll(io.LimitReader(c.env.In, lang.MaxText+1))
		if err != nil {
			return "", fail(ExitUsage, "read statements: %s", err)
		}
		return string(text), nil
	}
	return given, nil
}

func (c *execCommand) run(client *client, s lang.Statement) error {
	ctx := context.Background()
	switch s := s.(type) {
	case lang.Search:
		answer, err := client.search(ctx, c.searchPayload(s))
		if err != nil {
			return c.refused(client, err, false, "")
		}
		return c.print(client, func(w io.Writer) { writeSearch(w, answer) })
	case lang.Reserve:
		p := c.reservePayload(s)
		answer, err := client.reserve(ctx, p)
		if err != nil {
			return c.refused(client, err, true, "reservation id "+p.ReservationID)
		}
		return c.print(client, func(w io.Writer) { writeReservation(w, answer) })
	}
	return c.operate(ctx, client, s)
}

func (c *execCommand) operate(ctx context.Context, client *client, s lang.Statement) error {
	plain, dry := lang.Unwrap(s)
	_, mutates := plain.(lang.Change)
	result, err := client.statement(ctx, &operate.StatementPayload{
		Authorization: optional(bearer(c.Token)),
		RequestID:     optional(c.RequestID),
		Statement:     plain.String(),
		DryRun:        dry,
	})
	if err != nil {
		return c.refused(client, err, mutates && !dry, "")
	}
	return c.print(client, func(w io.Writer) { writeResult(w, result) })
}

func bearer(token string) string {
	if token == "" {
		return ""
	}
	return "Bearer " + token
}

func (c *execCommand) searchPayload(s lang.Search) *query.SearchPayload {
	p := &query.SearchPayload{
		RequestID:   optional(c.RequestID),
		Caller:      optional(c.Caller),
		BudgetMs:    milliseconds(s.Budget),
		Service:     optional(s.Service),
		Workload:    optional(s.Workload),
		Text:        optional(s.Text),
		Limit:       s.Limit,
		MinCoverage: s.MinCoverage,
	}
	if s.MinCoverage < 0 {
		p.MinCoverage = 1
	}
	return p
}

func (c *execCommand) reservePayload(s lang.Reserve) *query.ReservePayload {
	id := s.ID
	if id == "" {
		id = ulid.Make().String()
	}
	return &query.ReservePayload{
		RequestID:     optional(c.RequestID),
		Caller:        optional(c.Caller),
		BudgetMs:      milliseconds(s.Budget),
		ReservationID: id,
		Service:       s.Service,
		Item:          s.Item,
	}
}

func optional(s string) *string {
	if s == "" {
		return nil
	}
	return &s
}

func milliseconds(d time.Duration) *float64 {
	if d == 0 {
		return nil
	}
	ms := float64(d) / float64(time.Millisecond)
	return &ms
}

// print writes an answer in the form asked for.
func (c *execCommand) print(client *client, text func(io.Writer)) error {
	var b bytes.Buffer
	if c.Output == outputJSON {
		writeJSON(&b, client.wire.body)
	} else {
		text(&b)
	}
	if _, err := c.env.Out.Write(b.Bytes()); err != nil {
		return Error.New("print answer: %w", err)
	}
	return nil
}

func writeJSON(b *bytes.Buffer, body []byte) {
	if err := json.Indent(b, body, "", "  "); err != nil {
		b.Reset()
		b.Write(body)
	}
	if !bytes.HasSuffix(b.Bytes(), []byte("\n")) {
		b.WriteByte('\n')
	}
}

// refused turns the error of a statement into its exit code and text. mutates
// says whether the statement may change something, and hint what a repeat needs.
func (c *execCommand) refused(client *client, err error, mutates bool, hint string) error {
	var lost *lostError
	if errors.As(err, &lost) {
		return unreachable(lost, mutates, hint)
	}
	r, ok := refusalOf(err)
	if !ok {
		return fail(unsettledIf(mutates), "the host's answer can't be read: %s", err)
	}
	if c.Output == outputJSON {
		if err := c.print(client, nil); err != nil {
			return err
		}
		return fail(r.code(mutates), "")
	}
	return fail(r.code(mutates), "%s", r.text(hint))
}

func unreachable(lost *lostError, mutates bool, hint string) error {
	if !lost.sent {
		return fail(ExitUnreachable, "not sent: %s", lost)
	}
	text := fmt.Sprintf("no answer: %s", lost)
	if !mutates {
		return fail(ExitUnreachable, "%s", text)
	}
	text += "; it may have run"
	if hint != "" {
		text += "; repeat it with " + hint
	}
	return fail(ExitUnsettled, "%s", text)
}

func unsettledIf(mutates bool) int {
	if mutates {
		return ExitUnsettled
	}
	return ExitFailed
}
