package main

import (
	"io"
	"text/tabwriter"
)

// timestampLayout is how the tool prints an instant.
const timestampLayout = "2006-01-02 15:04:05.000"

// columnGap is how many spaces stand between two columns, at least.
const columnGap = 2

// newTextTable returns a table with columns aligned to the left. Cells end with a tab, and the last cell of a row with a line feed.
func newTextTable(out io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)
}

// newNumberTable returns a table with columns aligned to the right. All cells end with a tab.
func newNumberTable(out io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(out, 0, 0, columnGap, ' ', tabwriter.AlignRight)
}

// flushTable prints a table.
func flushTable(table *tabwriter.Writer) error {
	return table.Flush() //nolint:wrapcheck // it is the error of the write to standard output, which names it
}
