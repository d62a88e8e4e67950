package main

import (
	"path/filepath"

	"ploverreel/internal/fleet"
)

// output holds the flag for the file of a subcommand's result.
type output struct {
	Out string `help:"File of the result; bench/results/SUBCOMMAND.json if not given." placeholder:"FILE"`
}

// saveResult writes the result of a run that ended with runErr. If runErr is not nil, the result is
// marked as unfinished and runErr is returned. Otherwise saveResult returns the error of writing
// the result.
func (o output) saveResult(r *fleet.Result, runErr error) error {
	path := o.Out
	if path == "" {
		path = filepath.Join("bench", "results", r.Subcommand+".json")
	}
	if err := r.Save(path, runErr); err != nil && runErr == nil {
		return err
	}
	return runErr
}
