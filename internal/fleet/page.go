package fleet

import (
	"fmt"
	"math"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// A section of a page holds the generated tables of one result between a start marker and an end
// marker, each on a line of its own. The start marker names the result's file without the extension
// '.json'.
const (
	sectionStart = "<!-- fleetbench:"
	sectionEnd   = "<!-- /fleetbench -->"
)

var startMarker = regexp.MustCompile(`^<!-- fleetbench:([a-z0-9][a-z0-9-]*) -->$`)

// flaggedRelativeDifference is the relative difference from the line's prediction above which the
// value measured at the target is flagged in the table of fits.
const flaggedRelativeDifference = 0.25

// LoadResults reads all results in a directory and returns them by file name without '.json'. For a
// result that is unfinished or in another format it returns an error that names the file. For a
// missing directory it returns no results and no error.
func LoadResults(dir string) (map[string]*Result, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, fmt.Errorf("results: %w", err)
	}
	results := map[string]*Result{}
	for _, path := range files {
		r, err := LoadResult(path)
		if err != nil {
			return nil, err
		}
		results[strings.TrimSuffix(filepath.Base(path), ".json")] = r
	}
	return results, nil
}

// RenderPage replaces the content of each section with the tables of its result. It returns the new
// page and the names of its sections. A section without a result or an end marker is an error that
// names the line or the section.
func RenderPage(page string, results map[string]*Result) (string, []string, error) {
	var out, names []string
	openSection := "" // name of the section that contains the current line, "" outside of sections
	for i, line := range strings.Split(page, "\n") {
		lineError := func(format string, args ...any) (string, []string, error) {
			return "", nil, fmt.Errorf("line %d: "+format, append([]any{i + 1}, args...)...)
		}
		text := strings.TrimSpace(line)
		switch {
		case strings.HasPrefix(text, sectionStart):
			match := startMarker.FindStringSubmatch(text)
			switch {
			case match == nil:
				return lineError("no marker of a result: %s", text)
			case openSection != "":
				return lineError("%s begins within %s", match[1], openSection)
			case slices.Contains(names, match[1]):
				return lineError("%s has two sections", match[1])
			case results[match[1]] == nil:
				return lineError("%s: no such result", match[1])
			}
			openSection = match[1]
			names = append(names, openSection)
			out = append(out, text, "", strings.TrimSpace(results[openSection].Tables(openSection+".json")), "")
		case text == sectionEnd:
			if openSection == "" {
				return lineError("the end of no section")
			}
			openSection = ""
			out = append(out, text)
		case openSection == "":
			out = append(out, line)
		}
	}
	if openSection != "" {
		return "", nil, fmt.Errorf("%s: the section has no end", openSection)
	}
	return strings.Join(out, "\n"), names, nil
}

// Tables returns the result's tables in Markdown: one for each group of cases with the same
// figures, and one of the fits. A line under each table describes the run. file is the name of the
// result's file.
func (r *Result) Tables(file string) string {
	var out strings.Builder
	var groups [][]Case
	for _, c := range r.Cases {
		i := slices.IndexFunc(groups, func(group []Case) bool { return sameFigures(group[0].Figures, c.Figures) })
		if i < 0 {
			groups = append(groups, []Case{c})
			continue
		}
		groups[i] = append(groups[i], c)
	}
	runLine := r.runLine(file)
	for _, group := range groups {
		out.WriteString(caseTable(group, runLine))
	}
	if len(r.Fits) > 0 {
		out.WriteString(fitTable(r.Fits, runLine))
	}
	fmt.Fprintf(&out, "%s: %s\n\n", escapeCell(file), r.commandLine())
	for _, note := range r.Notes {
		fmt.Fprintf(&out, "- %s\n", escapeCell(note))
	}
	return out.String()
}

// runLine returns the line that describes the run under a table.
func (r *Result) runLine(file string) string {
	commit := r.Commit
	if commit == "" {
		commit = "unknown"
	}
	m := r.Machine
	return fmt.Sprintf("Run: %s, commit %s, on %s, %d cores, %s GB, %s, %s; %s UTC, %s s.", escapeCell(file), escapeCell(commit),
		escapeCell(m.CPU), m.Cores, formatNumber(m.MemoryGB), escapeCell(m.OS), escapeCell(m.Go), r.Started.UTC().Format("2006-01-02 15:04"),
		formatNumber(r.DurationS))
}

// commandLine returns the run's command line and the size of the fleet.
func (r *Result) commandLine() string {
	command := strings.Join(append([]string{"fleetbench", r.Subcommand}, r.Args...), " ")
	s := r.Size
	return fmt.Sprintf("`%s` with %d agents, %d servers, %d services, %d regions, %d zones, %s calls a second, "+
		"depth %d, seed %d.", strings.ReplaceAll(escapeCell(command), "`", "'"), s.Agents, s.Servers, s.Services, s.Regions,
		s.Zones, formatNumber(s.Rate), s.Depth, s.Seed)
}

// sameFigures reports whether two lists of figures have the same names and units in the same order.
func sameFigures(a, b []Figure) bool {
	return slices.EqualFunc(a, b, func(x, y Figure) bool { return x.Name == y.Name && x.Unit == y.Unit })
}

// caseTable returns a table with a row for each case and a column for each figure. Parameter values
// that at least half of the cases share are listed under the table. A row lists only parameters
// with other values.
func caseTable(cases []Case, runLine string) string {
	common, commonText := commonParams(cases)
	header := []string{"case", "at"}
	for _, f := range cases[0].Figures {
		header = append(header, figureHeading(f.Name, f.Unit))
	}
	var rows [][]string
	anyParams := false
	for _, c := range cases {
		params := c.paramsTextExcept(common)
		anyParams = anyParams || params != ""
		row := []string{c.Name, params}
		for _, f := range c.Figures {
			row = append(row, formatNumber(f.Value))
		}
		rows = append(rows, row)
	}
	if !anyParams { // drop the column of parameters, which is empty
		header = slices.Delete(header, 1, 2)
		for i := range rows {
			rows[i] = slices.Delete(rows[i], 1, 2)
		}
	}
	if commonText != "" {
		runLine = "At " + commonText + " where the row says no other. " + runLine
	}
	return markdownTable(header, rows) + "\n" + runLine + "\n\n"
}

// commonParams returns each parameter that has the same value in at least half of the cases and in
// more than one, with that value, and the text of all of them. Of two values with equal counts it
// takes the smaller one.
func commonParams(cases []Case) (map[string]float64, string) {
	counts := map[string]map[float64]int{}
	for _, c := range cases {
		for name, value := range c.Params {
			if counts[name] == nil {
				counts[name] = map[float64]int{}
			}
			counts[name][value]++
		}
	}
	common := map[string]float64{}
	for name, values := range counts {
		for value, n := range values {
			current, ok := common[name]
			if n > 1 && 2*n >= len(cases) && (!ok || n > values[current] || n == values[current] && value < current) {
				common[name] = value
			}
		}
	}
	return common, (&Case{Params: common}).paramsTextExcept(nil)
}

// paramsTextExcept returns the text of the case's parameters, without those that have their common
// value.
func (c *Case) paramsTextExcept(common map[string]float64) string {
	var parts []string
	for name, value := range c.Params {
		if commonValue, ok := common[name]; !ok || commonValue != value {
			parts = append(parts, escapeCell(name)+" "+formatNumber(value))
		}
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}

// fitTable returns a table with a row for each fit.
func fitTable(fits []Fit, runLine string) string {
	header := []string{"figure", "over", "sizes", "slope x size + fixed", "residual", "target", "line there", "measured there",
		"measured / line"}
	var rows [][]string
	for _, f := range fits {
		sizes := "none"
		if len(f.Sizes) > 0 {
			sizes = fmt.Sprintf("%d, %s to %s", len(f.Sizes), formatNumber(slices.Min(f.Sizes)), formatNumber(slices.Max(f.Sizes)))
		}
		sign := " + "
		if f.Intercept < 0 {
			sign = " - "
		}
		measured, ratio := "not run", ""
		if f.MeasuredAtTarget != nil {
			measured = formatNumber(*f.MeasuredAtTarget)
			ratio = "none"
			if f.PredictedAtTarget != 0 {
				ratio = formatNumber(*f.MeasuredAtTarget / f.PredictedAtTarget)
			}
			if math.Abs(*f.MeasuredAtTarget-f.PredictedAtTarget) > flaggedRelativeDifference*math.Abs(f.PredictedAtTarget) {
				ratio = "**" + ratio + ", differs**"
			}
		}
		rows = append(rows, []string{figureHeading(f.Figure, f.Unit), f.Param, sizes,
			formatNumber(f.Slope) + " x " + f.Param + sign + formatNumber(math.Abs(f.Intercept)), formatNumber(f.RelativeRMSE), formatNumber(f.Target),
			formatNumber(f.PredictedAtTarget), measured, ratio})
	}
	return markdownTable(header, rows) + "\nA residual is the root of the mean squared miss, as a part of the mean. " + runLine + "\n\n"
}

// markdownTable returns a table in Markdown. The first column is aligned to the left, the others to
// the right.
func markdownTable(header []string, rows [][]string) string {
	var out strings.Builder
	writeRow := func(cells []string) {
		out.WriteString("|")
		for _, text := range cells {
			out.WriteString(" " + escapeCell(text) + " |")
		}
		out.WriteString("\n")
	}
	writeRow(header)
	out.WriteString("| --- |" + strings.Repeat(" ---: |", len(header)-1) + "\n")
	for _, row := range rows {
		writeRow(row)
	}
	return out.String()
}

// escapeCell replaces or removes the characters that would end a table cell, a line or a section.
func escapeCell(text string) string {
	return strings.NewReplacer("|", "/", "\n", " ", "\r", " ", "<!--", "", "-->", "").Replace(text)
}

// figureHeading returns the column heading of a figure: its name, with its unit unless that is a
// count.
func figureHeading(name, unit string) string {
	if unit == "" || unit == "count" {
		return name
	}
	return name + " (" + unit + ")"
}

// formatNumber formats a number with three significant digits. Whole numbers below 1e9 keep all
// their digits.
func formatNumber(x float64) string {
	if x == math.Trunc(x) && math.Abs(x) < 1e9 {
		return strconv.FormatFloat(x, 'f', -1, 64)
	}
	rounded, err := strconv.ParseFloat(strconv.FormatFloat(x, 'g', 3, 64), 64)
	if err != nil || math.Abs(rounded) < 1e-4 || math.Abs(rounded) >= 1e9 {
		return strconv.FormatFloat(x, 'g', 3, 64)
	}
	return strconv.FormatFloat(rounded, 'f', -1, 64)
}
