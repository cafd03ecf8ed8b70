package operate

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"rhubarbwood.example/rhubarbwood/internal/lang"
)

// Table is what a statement shows. Each row has one cell a column.
type Table struct {
	Columns []string
	Rows    [][]string
	Message string // notes on the rows, such as what they lack
}

func newTable(columns ...string) *Table { return &Table{Columns: columns} }

func (t *Table) add(cells ...string) { t.Rows = append(t.Rows, cells) }

// refine applies the clauses of a Show statement to a table of the present
// state, which has no history.
func (t *Table) refine(s lang.Show) error {
	if s.Since != 0 {
		return badRequest("show %s tells the present, so it takes no since", s.Subject)
	}
	if err := t.where(s.Where); err != nil {
		return err
	}
	if err := t.by(s.By); err != nil {
		return err
	}
	t.limit(s.Limit)
	return nil
}

func (t *Table) where(conditions []lang.Condition) error {
	for _, c := range conditions {
		i, err := t.column(c.Field)
		if err != nil {
			return err
		}
		t.Rows = slices.DeleteFunc(t.Rows, func(row []string) bool {
			return strings.EqualFold(row[i], c.Value) == c.Not
		})
	}
	return nil
}

func (t *Table) column(name string) (int, error) {
	i := slices.Index(t.Columns, name)
	if i < 0 {
		return 0, badRequest("no field %q, want one of %s", name, strings.Join(t.Columns, ", "))
	}
	return i, nil
}

// by counts the rows that have the same cells in the given columns.
func (t *Table) by(fields []string) error {
	if len(fields) == 0 {
		return nil
	}
	var columns []int
	for _, f := range fields {
		i, err := t.column(f)
		if err != nil {
			return err
		}
		columns = append(columns, i)
	}
	counts := map[string]int{}
	grouped := newTable(append(slices.Clone(fields), "count")...)
	for _, row := range t.Rows {
		var cells []string
		for _, i := range columns {
			cells = append(cells, row[i])
		}
		key := groupKey(cells)
		if counts[key] == 0 {
			grouped.add(cells...)
		}
		counts[key]++
	}
	for i, cells := range grouped.Rows {
		grouped.Rows[i] = append(cells, strconv.Itoa(counts[groupKey(cells)]))
	}
	slices.SortFunc(grouped.Rows, slices.Compare)
	t.Columns, t.Rows = grouped.Columns, grouped.Rows
	return nil
}

// groupKey joins the cells that rows are grouped by into a map key.
func groupKey(cells []string) string { return strings.Join(cells, "\x00") }

// limit keeps the first rows and says how many there were.
func (t *Table) limit(n int) {
	if n == 0 || len(t.Rows) <= n {
		return
	}
	t.note("%d of %d rows", n, len(t.Rows))
	t.Rows = t.Rows[:n]
}

// note adds a sentence to the message.
func (t *Table) note(format string, args ...any) {
	if t.Message != "" {
		t.Message += "; "
	}
	t.Message += fmt.Sprintf(format, args...)
}
