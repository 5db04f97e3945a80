// Package capacity measures how the cost of each part of the system grows with the fleet, the
// targets and the configuration. Each measurement is made at three or more sizes; a least-squares
// line through the results predicts the cost at the planned size.
package capacity
