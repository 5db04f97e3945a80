package capacity

import "math"

// maxLinearResidual is the largest residual, as a share of the largest value, at which a series is
// reported as linear.
const maxLinearResidual = 0.1

// Line is a least-squares line and its fit to the points.
type Line struct {
	Slope, Intercept float64
	// Residual is the largest absolute deviation of a point from the line.
	Residual float64
	// Linear reports that Residual is at most maxLinearResidual of the largest value.
	Linear bool
}

// Fit returns the least-squares line through the points. xs must have at least two different
// values.
func Fit(xs, ys []float64) Line {
	n := float64(len(xs))
	meanX, meanY := sum(xs)/n, sum(ys)/n
	covariance, variance := 0.0, 0.0
	for i, x := range xs {
		covariance += (x - meanX) * (ys[i] - meanY)
		variance += (x - meanX) * (x - meanX)
	}
	line := Line{Slope: covariance / variance}
	line.Intercept = meanY - line.Slope*meanX
	largest := 0.0
	for i, x := range xs {
		line.Residual = max(line.Residual, math.Abs(ys[i]-line.At(x)))
		largest = max(largest, math.Abs(ys[i]))
	}
	line.Linear = line.Residual <= maxLinearResidual*largest
	return line
}

// At returns the value of the line at x.
func (l Line) At(x float64) float64 {
	return l.Intercept + l.Slope*x
}

func sum(values []float64) float64 {
	total := 0.0
	for _, value := range values {
		total += value
	}
	return total
}
