package main

import (
	"fmt"
	"io"
	"text/tabwriter"

	"ploverreel/internal/fleet"
)

// summaryColumn is one column of a summary: a figure of the cases, multiplied by scale.
type summaryColumn struct {
	title  string
	figure string
	scale  float64
	format string // format string for one float64
}

// pathSummaryColumns are the columns of the summary that 'path' prints.
var pathSummaryColumns = []summaryColumn{
	{"calls", "calls", 1, "%.0f"},
	{"served", "served", 1, "%.0f"},
	{"refused", "refused", 1, "%.0f"},
	{"failed", "failed", 1, "%.0f"},
	{"served %", "served_share", 100, "%.1f"},
	{"direct p50 ms", "direct_p50", 1, "%.2f"},
	{"added p50 ms", "added_p50", 1, "%.2f"},
	{"added p99 ms", "added_p99", 1, "%.2f"},
	{"CPU ms/1000 calls", "cpu_per_1000", 1, "%.0f"},
	{"RSS MB", "rss", 1.0 / (1 << 20), "%.1f"},
}

// writeSummary writes a text table with a row for each case. A figure that a case does not have is
// shown as "-".
func writeSummary(w io.Writer, cases []fleet.Case, columns []summaryColumn) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(table, "case\t")
	for _, column := range columns {
		fmt.Fprintf(table, "%s\t", column.title)
	}
	fmt.Fprintln(table)
	for i := range cases {
		fmt.Fprintf(table, "%s\t", cases[i].Name)
		for _, column := range columns {
			text := "-"
			if value, ok := cases[i].Figure(column.figure); ok {
				text = fmt.Sprintf(column.format, value*column.scale)
			}
			fmt.Fprintf(table, "%s\t", text)
		}
		fmt.Fprintln(table)
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("summary: %w", err)
	}
	return nil
}
