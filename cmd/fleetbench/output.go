package main

import (
	"path/filepath"

	"ploverreel/internal/fleet"
)

// output is where a subcommand's result goes.
type output struct {
	Out string `help:"File of the result; bench/results/SUBCOMMAND.json if not given." placeholder:"FILE"`
}

// finish saves the result, marked as unfinished where the run failed, and passes on why.
func (o output) finish(r *fleet.Result, cause error) error {
	path := o.Out
	if path == "" {
		path = filepath.Join("bench", "results", r.Subcommand+".json")
	}
	if err := r.Save(path, cause); err != nil && cause == nil {
		return err
	}
	return cause
}
