// Package stand holds the stand-ins and helpers of the review's cases: a record of what was sent,
// answered and run, agents as separate processes, discovery, bid servers and clients.
package stand

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0 // the rule held
	Broken = 1 // the rule was broken
	NotRun = 2 // the case couldn't run
)

// Record is the record of one run of a case. Its lines carry the time since its start.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates record.txt in the folder of a case.
func NewRecord(folder string) (*Record, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &Record{file: file, start: time.Now()}, nil
}

// Printf writes one line.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Close closes the file.
func (r *Record) Close() { r.file.Close() }

// Trouble reports whether the run has its disruption, that is, unless TROUBLE=0 is set.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Run runs a case in its folder, ends the process with the result, and removes the temporary
// folder that it gives to the case. A case that returns an error couldn't run.
func Run(folder string, run func(record *Record, temp string) (broken bool, err error)) {
	os.Exit(runIn(folder, run))
}

func runIn(folder string, run func(record *Record, temp string) (broken bool, err error)) int {
	record, err := NewRecord(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return NotRun
	}
	defer record.Close()
	temp, err := os.MkdirTemp("", "review")
	if err != nil {
		record.Printf("no temporary folder: %v", err)
		return NotRun
	}
	defer os.RemoveAll(temp)
	record.Printf("disruption: %v", Trouble())
	broken, err := run(record, temp)
	switch {
	case err != nil:
		record.Printf("result: not run: %v", err)
		fmt.Println("not run:", err)
		return NotRun
	case broken:
		record.Printf("result: the rule was broken")
		fmt.Println("the rule was broken")
		return Broken
	}
	record.Printf("result: the rule held")
	fmt.Println("the rule held")
	return Held
}
