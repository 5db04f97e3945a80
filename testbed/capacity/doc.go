// Package capacity measures how the cost of each part grows with the fleet, the
// targets and the configuration. Each measurement is made at three or more sizes;
// a line through the results gives the cost at the size to build towards.
package capacity
