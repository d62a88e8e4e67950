package backend

import (
	"math"
	"strconv"
	"strings"
)

// ParseLoadReport returns the values of the given names in a load report of the form
// 'TEXT name=value, name=value'. It returns nil unless each name is present exactly once with a
// finite value of 0 or more. A value that defaulted to 0 would make the backend look idle.
func ParseLoadReport(text string, names []string) []float32 {
	text, found := strings.CutPrefix(text, "TEXT ")
	if !found || len(names) == 0 {
		return nil
	}
	values := make([]float32, len(names))
	seen := make([]bool, len(names))
	for part := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		for i := range names {
			if names[i] == name {
				number, err := strconv.ParseFloat(value, 32)
				if err != nil || !(number >= 0) || math.IsInf(number, 0) || seen[i] {
					return nil
				}
				values[i], seen[i] = float32(number), true
			}
		}
	}
	for _, ok := range seen {
		if !ok {
			return nil
		}
	}
	return values
}
