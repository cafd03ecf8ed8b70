package operate

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"rhubarbwood.example/rhubarbwood/internal/lang"
)

// Table is the result of a statement. Each row has one cell for each column.
type Table struct {
	Columns []string
	Rows    [][]string
	Message string // notes on the rows, such as missing data
}

func newTable(columns ...string) *Table { return &Table{Columns: columns} }

func (t *Table) addRow(cells ...string) { t.Rows = append(t.Rows, cells) }

// applyClauses applies the clauses of a Show statement to a table of the current
// state. It refuses a since clause, as the current state has no history.
func (t *Table) applyClauses(s lang.Show) error {
	if s.Since != 0 {
		return badRequest("show %s tells the present, so it takes no since", s.Subject)
	}
	if err := t.filter(s.Where); err != nil {
		return err
	}
	if err := t.countBy(s.By); err != nil {
		return err
	}
	t.limit(s.Limit)
	return nil
}

// filter removes the rows that don't meet all conditions. Values are compared
// ignoring case.
func (t *Table) filter(conditions []lang.Condition) error {
	for _, c := range conditions {
		i, err := t.columnIndex(c.Field)
		if err != nil {
			return err
		}
		t.Rows = slices.DeleteFunc(t.Rows, func(row []string) bool {
			return strings.EqualFold(row[i], c.Value) == c.Not
		})
	}
	return nil
}

// columnIndex returns the index of a column, or a bad request refusal that lists
// the columns.
func (t *Table) columnIndex(name string) (int, error) {
	i := slices.Index(t.Columns, name)
	if i < 0 {
		return 0, badRequest("no field %q, want one of %s", name, strings.Join(t.Columns, ", "))
	}
	return i, nil
}

// countBy replaces the rows by one for each combination of values in the given
// columns, with the number of rows that have it.
func (t *Table) countBy(fields []string) error {
	if len(fields) == 0 {
		return nil
	}
	var columns []int
	for _, f := range fields {
		i, err := t.columnIndex(f)
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
			grouped.addRow(cells...)
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

// groupKey returns the map key of a group from the cells that rows are grouped by.
func groupKey(cells []string) string { return strings.Join(cells, "\x00") }

// limit keeps the first n rows, all if n is 0, and adds a note if rows were
// removed.
func (t *Table) limit(n int) {
	if n == 0 || len(t.Rows) <= n {
		return
	}
	t.addNote("%d of %d rows", n, len(t.Rows))
	t.Rows = t.Rows[:n]
}

// addNote appends a note to the message.
func (t *Table) addNote(format string, args ...any) {
	if t.Message != "" {
		t.Message += "; "
	}
	t.Message += fmt.Sprintf(format, args...)
}
