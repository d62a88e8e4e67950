package fleet

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// resultFormat identifies the format of result files. 'fleetbench report' rejects files of any
// other format.
const resultFormat = "ploverreel fleetbench 1"

// Result holds the measurements of one run of a subcommand. It is stored as a JSON file.
type Result struct {
	Format     string    `json:"form"`
	Subcommand string    `json:"bench"` // name of the subcommand
	Args       []string  `json:"args"`  // arguments beside those of Size, without file paths
	Size       Size      `json:"size"`
	Commit     string    `json:"commit"` // followed by "+" if there were uncommitted changes
	Machine    Machine   `json:"machine"`
	Started    time.Time `json:"started"`
	DurationS  float64   `json:"took_s"`
	Finished   bool      `json:"finished"`
	Cause      string    `json:"cause,omitempty"` // the error of a run that did not finish
	Cases      []Case    `json:"cases"`
	Fits       []Fit     `json:"fits,omitempty"`
	Notes      []string  `json:"notes,omitempty"`
}

// Case is one measured case, such as a point of a fitted line, a scenario or a fault.
type Case struct {
	Name    string             `json:"name"`
	Params  map[string]float64 `json:"params,omitempty"` // parameters of the case, such as the number of servers
	Figures []Figure           `json:"figures"`
}

// Figure is one measured value with its unit: "us", "ms", "s", "bytes", "bytes/s", "count" or
// "share".
type Figure struct {
	Name  string  `json:"name"`
	Unit  string  `json:"unit"`
	Value float64 `json:"value"`
}

// Add appends a figure.
func (c *Case) Add(name, unit string, value float64) {
	c.Figures = append(c.Figures, Figure{name, unit, value})
}

// Figure returns the value of the figure with that name, and whether the case has one.
func (c *Case) Figure(name string) (float64, bool) {
	for _, f := range c.Figures {
		if f.Name == name {
			return f.Value, true
		}
	}
	return 0, false
}

// NewResult returns a result without cases for a run of the subcommand that starts now. It records
// the commit and the machine. Save sets the duration and the outcome.
func NewResult(subcommand string, args []string, size Size) *Result {
	return &Result{Format: resultFormat, Subcommand: subcommand, Args: args, Size: size, Commit: sourceCommit(),
		Machine: describeMachine(), Started: time.Now().UTC().Truncate(time.Second)}
}

// Save writes the result to path and creates the directory if needed. If cause is not nil, the
// result is marked as unfinished, with the cause. After an error the previous file at path is still
// complete.
func (r *Result) Save(path string, cause error) error {
	r.DurationS = time.Since(r.Started).Seconds()
	r.Finished, r.Cause = cause == nil, ""
	if cause != nil {
		r.Cause = cause.Error()
	}
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return fmt.Errorf("result: %w", err)
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return fmt.Errorf("result: %w", err)
	}
	if err := ReplaceFile(path, append(text, '\n')); err != nil {
		return fmt.Errorf("result: %w", err)
	}
	return nil
}

// LoadResult reads a result. If the file has another format, is unfinished or has no cases, it
// returns an error that names the file.
func LoadResult(path string) (*Result, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("result: %w", err)
	}
	var r Result
	if err := json.Unmarshal(text, &r); err != nil {
		return nil, fmt.Errorf("result %s: %w", path, err)
	}
	switch {
	case r.Format != resultFormat:
		return nil, fmt.Errorf("result %s: unknown format %q", path, r.Format)
	case !r.Finished:
		return nil, fmt.Errorf("result %s: unfinished: %s", path, r.Cause)
	case len(r.Cases) == 0:
		return nil, errors.New("result " + path + ": no cases")
	}
	return &r, nil
}
