// Package capacity measures the resources that the programs use at several sizes,
// as the basis of docs/CAPACITY.md. It is not part of the product. The command
//
//	go test ./capacity -run TestSlopes -v
//
// starts the real programs on loopback and prints tables; TestPath does the same
// for requests. Start from [Fit] and [NewSite].
package capacity

import "slices"

// Point is one measurement: the cost Y at the size X.
type Point struct{ X, Y float64 }

// Line is the cost Base + Slope * X.
type Line struct {
	Intercept, Slope float64
	// R2 is the share of the variance of Y that the line explains.
	R2 float64
}

// Fit returns the least-squares line through points, which must have at least two
// different sizes.
func Fit(points []Point) Line {
	var meanX, meanY float64
	for _, p := range points {
		meanX += p.X / float64(len(points))
		meanY += p.Y / float64(len(points))
	}
	var xx, xy, yy float64
	for _, p := range points {
		xx += (p.X - meanX) * (p.X - meanX)
		xy += (p.X - meanX) * (p.Y - meanY)
		yy += (p.Y - meanY) * (p.Y - meanY)
	}
	res := Line{Slope: xy / xx, R2: 1}
	res.Intercept = meanY - res.Slope*meanX
	if yy > 0 {
		res.R2 = xy * xy / (xx * yy)
	}
	return res
}

// At returns the cost at a size.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }

// Quantile returns the q-quantile of values, with the rank rounded down, or zero
// without values. It sorts values in place.
func Quantile[T int64 | float64](values []T, q float64) T {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[int(q*float64(len(values)-1))]
}
