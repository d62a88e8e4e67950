package datapath

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// ticksPerS is the number of clock ticks a second. Processor times in /proc are in clock ticks.
const ticksPerS = 100

// usage holds the processor time and the memory of a process.
type usage struct {
	cpu          time.Duration
	rss, rssPeak float64 // bytes
}

// readUsage reads the processor time and the memory of the agent's process from /proc.
func (a *agentProcess) readUsage() (usage, error) {
	dir := filepath.Join("/proc", strconv.Itoa(a.cmd.Process.Pid))
	stat, err := os.ReadFile(filepath.Join(dir, "stat"))
	if err != nil {
		return usage{}, fmt.Errorf("agent's usage: %w", err)
	}
	var u usage
	if u.cpu, err = parseCPU(string(stat)); err != nil {
		return u, fmt.Errorf("agent's usage: stat: %w", err)
	}
	status, err := os.ReadFile(filepath.Join(dir, "status"))
	if err != nil {
		return u, fmt.Errorf("agent's usage: %w", err)
	}
	for line := range strings.Lines(string(status)) {
		name, text, _ := strings.Cut(line, ":")
		var value *float64
		switch name {
		case "VmRSS":
			value = &u.rss
		case "VmHWM":
			value = &u.rssPeak
		default:
			continue
		}
		kb, err := strconv.ParseFloat(strings.TrimSuffix(strings.TrimSpace(text), " kB"), 64)
		if err != nil {
			return u, fmt.Errorf("agent's usage: %s: %w", name, err)
		}
		*value = kb * 1024
	}
	return u, nil
}

// parseCPU returns the user and system time in the text of /proc/PID/stat.
func parseCPU(stat string) (time.Duration, error) {
	// The second field is the name of the program in parentheses. It may contain spaces and
	// parentheses.
	nameEnd := strings.LastIndexByte(stat, ')')
	fields := strings.Fields(stat[nameEnd+1:])
	if nameEnd < 0 || len(fields) < 13 {
		return 0, fmt.Errorf("too few fields in %q", stat)
	}
	ticks := 0
	for _, f := range fields[11:13] { // utime, stime
		n, err := strconv.Atoi(f)
		if err != nil {
			return 0, err
		}
		ticks += n
	}
	return time.Duration(ticks) * (time.Second / ticksPerS), nil
}
