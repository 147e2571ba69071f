// Package capacity measures what the programs cost at several sizes, as the base
// of docs/CAPACITY.md. It is not part of the product. The command
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
	Base, Slope float64
	// R2 is the share of the variance of Y that the line explains.
	R2 float64
}

// Fit returns the line through points with the least squares. It needs two
// different sizes.
func Fit(points []Point) Line {
	var mx, my float64
	for _, p := range points {
		mx += p.X / float64(len(points))
		my += p.Y / float64(len(points))
	}
	var xx, xy, yy float64
	for _, p := range points {
		xx += (p.X - mx) * (p.X - mx)
		xy += (p.X - mx) * (p.Y - my)
		yy += (p.Y - my) * (p.Y - my)
	}
	res := Line{Slope: xy / xx, R2: 1}
	res.Base = my - res.Slope*mx
	if yy > 0 {
		res.R2 = xy * xy / (xx * yy)
	}
	return res
}

// At returns the cost at a size.
func (l Line) At(x float64) float64 { return l.Base + l.Slope*x }

// Quantile returns the q-quantile of values by the nearest rank below, zero for
// none. It sorts values.
func Quantile[T int64 | float64](values []T, q float64) T {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[int(q*float64(len(values)-1))]
}
