package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// Table is a header and rows of text cells.
type Table struct {
	Header []string
	Rows   [][]string
}

// addRow appends a row, each cell in its default format.
func (t *Table) addRow(cells ...any) {
	row := make([]string, 0, len(cells))
	for _, cell := range cells {
		row = append(row, cellText(cell))
	}
	t.Rows = append(t.Rows, row)
}

func cellText(cell any) string {
	if at, ok := cell.(time.Time); ok {
		return timeText(at)
	}
	if text := fmt.Sprint(cell); text != "" {
		return text
	}
	return "-"
}

func timeText(at time.Time) string {
	if at.IsZero() {
		return "-"
	}
	return at.UTC().Format(time.RFC3339)
}

// joinIDs returns the ids as one comma-separated cell.
func joinIDs[ID ~string](ids []ID) string {
	names := make([]string, 0, len(ids))
	for _, id := range ids {
		names = append(names, string(id))
	}
	return strings.Join(names, ",")
}

// render writes the value as JSON or the table as text.
func render(out io.Writer, format string, value any, table Table) error {
	if format == OutputJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	writer := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(writer, strings.Join(table.Header, "\t"))
	for _, row := range table.Rows {
		fmt.Fprintln(writer, strings.Join(row, "\t"))
	}
	return writer.Flush()
}
