package fleet

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
)

// leastSizes is how many sizes a slope needs.
const leastSizes = 4

// Fit is the straight line of a figure over one parameter of the cases: Fixed + Slope x size.
type Fit struct {
	Figure   string    `json:"figure"`
	Unit     string    `json:"unit"`
	Over     string    `json:"over"` // the parameter
	Sizes    []float64 `json:"sizes"`
	Slope    float64   `json:"slope"`
	Fixed    float64   `json:"fixed"`
	Residual float64   `json:"residual"`           // root of the mean squared miss, as a part of the mean value
	Target   float64   `json:"target"`             // the size that the line is extended to
	AtTarget float64   `json:"at_target"`          // the line's value there
	Measured *float64  `json:"measured,omitempty"` // the run's value there; nil: the run has none
}

// FitLine fits a straight line by least squares to the figure over the parameter of those cases that have
// both. The case at the target is left out where enough others are left: the line then predicts it. With
// fewer than four sizes it returns an error.
func FitLine(cases []Case, figure, over string, target float64) (Fit, error) {
	f := Fit{Figure: figure, Over: over, Target: target}
	var x, y, xAll, yAll []float64
	for i := range cases {
		value, ok := cases[i].Figure(figure)
		size, has := cases[i].Params[over]
		if !ok || !has {
			continue
		}
		for _, g := range cases[i].Figures {
			if g.Name == figure {
				f.Unit = g.Unit
			}
		}
		xAll, yAll = append(xAll, size), append(yAll, value)
		if size == target {
			f.Measured = &value
			continue
		}
		x, y = append(x, size), append(y, value)
	}
	if len(x) < leastSizes {
		x, y = xAll, yAll
	}
	if len(x) < leastSizes {
		return f, fmt.Errorf("fit of %s over %s: %d sizes, needs %d", figure, over, len(x), leastSizes)
	}
	f.Sizes = x
	f.Fixed, f.Slope = stat.LinearRegression(x, y, nil, false)
	sum := 0.0
	for i := range x {
		miss := y[i] - f.Fixed - f.Slope*x[i]
		sum += miss * miss
	}
	if m := math.Abs(stat.Mean(y, nil)); m > 0 {
		f.Residual = math.Sqrt(sum/float64(len(x))) / m
	}
	f.AtTarget = f.Fixed + f.Slope*target
	return f, nil
}
