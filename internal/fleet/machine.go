package fleet

import (
	"bufio"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
)

// Machine describes the machine that a result was measured on. A field that cannot be read is
// empty.
type Machine struct {
	CPU      string  `json:"cpu"`
	Cores    int     `json:"cores"`
	MemoryGB float64 `json:"memory_gb"`
	OS       string  `json:"os"`
	Go       string  `json:"go"`
}

// describeMachine returns the description of this machine.
func describeMachine() Machine {
	return Machine{CPU: procField("/proc/cpuinfo", "model name"), Cores: runtime.NumCPU(),
		MemoryGB: float64(MemoryBytes()>>20) / 1024, OS: runtime.GOOS + "/" + runtime.GOARCH, Go: runtime.Version()}
}

// MemoryBytes returns the machine's memory in bytes, or 0 if /proc/meminfo cannot be read.
func MemoryBytes() int64 {
	kb, _, _ := strings.Cut(procField("/proc/meminfo", "MemTotal"), " ")
	n, err := strconv.ParseInt(kb, 10, 64)
	if err != nil {
		return 0
	}
	return n << 10
}

// CheckMemory returns a *UsageError for the argument arg if a run would need more than half of the
// machine's memory. It returns nil if the size of the memory is unknown.
func CheckMemory(arg string, neededBytes float64) error {
	if totalBytes := MemoryBytes(); totalBytes > 0 && neededBytes > float64(totalBytes)/2 {
		return NewUsageError(arg, "would need about %.1f GB, more than half of the machine's %.1f GB", neededBytes/(1<<30), float64(totalBytes)/(1<<30))
	}
	return nil
}

// procField returns the value of the first line 'field : value' with that field in the file, or ""
// if there is none.
func procField(path, field string) string {
	f, err := os.Open(path)
	if err != nil {
		return ""
	}
	defer f.Close()
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		if name, value, ok := strings.Cut(lines.Text(), ":"); ok && strings.TrimSpace(name) == field {
			return strings.TrimSpace(value)
		}
	}
	return ""
}

// sourceCommit returns the abbreviated commit ID of the checkout in the current directory. It
// appends "+" if there are uncommitted changes outside the journal and the results. Outside a
// checkout it returns "".
func sourceCommit() string {
	id, err := exec.Command("git", "rev-parse", "--short=12", "HEAD").Output()
	if err != nil {
		return ""
	}
	text := strings.TrimSpace(string(id))
	changed, err := exec.Command("git", "status", "--porcelain", "--", ".", ":!journal", ":!bench/results").Output()
	if err == nil && len(changed) > 0 {
		text += "+"
	}
	return text
}
