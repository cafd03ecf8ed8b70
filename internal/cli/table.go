package cli

import (
	"fmt"
	"io"
	"strings"
	"unicode/utf8"
)

// columnGap is the number of spaces between two columns.
const columnGap = 2

// writeTable writes a table with aligned columns. It writes nothing if there are
// no rows.
func writeTable(w io.Writer, columns []string, rows [][]string) {
	if len(columns) == 0 || len(rows) == 0 {
		return
	}
	head := make([]string, len(columns))
	for i, c := range columns {
		head[i] = strings.ToUpper(c)
	}
	widths := make([]int, len(columns))
	for _, row := range append([][]string{head}, rows...) {
		for i := range min(len(row), len(widths)) {
			widths[i] = max(widths[i], utf8.RuneCountInString(row[i]))
		}
	}
	writeRow(w, widths, head)
	for _, row := range rows {
		writeRow(w, widths, row)
	}
}

func writeRow(w io.Writer, widths []int, cells []string) {
	var line strings.Builder
	for i := range min(len(cells), len(widths)) {
		line.WriteString(cells[i])
		line.WriteString(strings.Repeat(" ", widths[i]-utf8.RuneCountInString(cells[i])+columnGap))
	}
	fmt.Fprintln(w, strings.TrimRight(line.String(), " "))
}
