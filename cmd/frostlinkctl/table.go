package main

import (
	"io"
	"text/tabwriter"
)

// timestampLayout is the format of timestamps that the tool prints.
const timestampLayout = "2006-01-02 15:04:05.000"

// columnGap is the minimum number of spaces between two columns.
const columnGap = 2

// newTextTable returns a table with left-aligned columns. Each cell ends with a tab, except the last one of a row, which ends with a line
// feed.
func newTextTable(out io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)
}

// newNumberTable returns a table with right-aligned columns. Each cell ends with a tab.
func newNumberTable(out io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(out, 0, 0, columnGap, ' ', tabwriter.AlignRight)
}

// flushTable prints a table.
func flushTable(table *tabwriter.Writer) error {
	return table.Flush() //nolint:wrapcheck // the error of a write to standard output names it
}
