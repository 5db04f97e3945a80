package capacity

import "math"

// maxLinearResidual is the largest residual, as a part of the largest value, at which a
// series counts as linear.
const maxLinearResidual = 0.1

// Line is a least-squares line.
type Line struct {
	Slope, Intercept float64
	// Residual is the largest distance of a point from the line.
	Residual float64
	// Linear tells that the residual is small against the values.
	Linear bool
}

// Fit returns the least-squares line through points. There must be at least two
// different values in xs.
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
