package fleet

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
)

// minFitSizes is the smallest number of sizes that a line is fitted through.
const minFitSizes = 4

// Fit is the line that was fitted to a figure over one parameter of the cases, whose values are
// called sizes: figure = Intercept + Slope x size.
type Fit struct {
	Figure            string    `json:"figure"`
	Unit              string    `json:"unit"`
	Param             string    `json:"over"` // name of the parameter
	Sizes             []float64 `json:"sizes"`
	Slope             float64   `json:"slope"`
	Intercept         float64   `json:"fixed"`
	RelativeRMSE      float64   `json:"residual"`           // root mean square of the residuals / mean of the figure
	Target            float64   `json:"target"`             // the size that the line predicts the figure for
	PredictedAtTarget float64   `json:"at_target"`          // value of the line at the target
	MeasuredAtTarget  *float64  `json:"measured,omitempty"` // measured value at the target; nil if there is none
}

// FitLine fits a line by least squares to the figure over the parameter. Cases without the figure
// or the parameter are ignored. The case at the target is left out of the fit if at least
// minFitSizes others remain, so that the line predicts its value. With fewer than minFitSizes sizes
// FitLine returns an error.
func FitLine(cases []Case, figure, param string, target float64) (Fit, error) {
	fit := Fit{Figure: figure, Param: param, Target: target}
	var x, y, xAll, yAll []float64
	for i := range cases {
		value, ok := cases[i].Figure(figure)
		size, hasParam := cases[i].Params[param]
		if !ok || !hasParam {
			continue
		}
		for _, f := range cases[i].Figures {
			if f.Name == figure {
				fit.Unit = f.Unit
			}
		}
		xAll, yAll = append(xAll, size), append(yAll, value)
		if size == target {
			fit.MeasuredAtTarget = &value
			continue
		}
		x, y = append(x, size), append(y, value)
	}
	if len(x) < minFitSizes {
		x, y = xAll, yAll
	}
	if len(x) < minFitSizes {
		return fit, fmt.Errorf("fit of %s over %s: %d sizes, needs %d", figure, param, len(x), minFitSizes)
	}
	fit.Sizes = x
	fit.Intercept, fit.Slope = stat.LinearRegression(x, y, nil, false)
	sumOfSquares := 0.0
	for i := range x {
		residual := y[i] - fit.Intercept - fit.Slope*x[i]
		sumOfSquares += residual * residual
	}
	if absMean := math.Abs(stat.Mean(y, nil)); absMean > 0 {
		fit.RelativeRMSE = math.Sqrt(sumOfSquares/float64(len(x))) / absMean
	}
	fit.PredictedAtTarget = fit.Intercept + fit.Slope*target
	return fit, nil
}
