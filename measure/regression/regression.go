// Package regression fits a line to measured values.
package regression

import "fmt"

// Series is a quantity measured at several sizes.
type Series struct {
	Name string
	// Per names what a size counts, and Unit is the unit of the values.
	Per, Unit string
	Sizes     []float64
	Values    []float64
}

// Measure returns a series with the value that measure returns for each size.
func Measure(name, per, unit string, sizes []float64, measure func(n int) float64) Series {
	s := Series{Name: name, Per: per, Unit: unit, Sizes: sizes}
	for _, n := range sizes {
		s.Values = append(s.Values, measure(int(n)))
	}
	return s
}

// Fit returns the least-squares line and r2, the share of the variance that it explains.
// If all sizes are equal, it returns the mean of the values as the intercept, and 0 for
// the rest. If all values are equal, r2 is 1.
func (s Series) Fit() (slope, intercept, r2 float64) {
	n := float64(len(s.Sizes))
	var sx, sy, sxx, sxy, syy float64
	for i, x := range s.Sizes {
		y := s.Values[i]
		sx, sy, sxx, sxy, syy = sx+x, sy+y, sxx+x*x, sxy+x*y, syy+y*y
	}
	dx, dy, dxy := n*sxx-sx*sx, n*syy-sy*sy, n*sxy-sx*sy
	if dx == 0 {
		return 0, sy / n, 0
	}
	slope = dxy / dx
	intercept = (sy - slope*sx) / n
	if dy == 0 {
		return slope, intercept, 1
	}
	return slope, intercept, dxy * dxy / (dx * dy)
}

// Predict returns the value of the fitted line at a size.
func (s Series) Predict(size float64) float64 {
	slope, intercept, _ := s.Fit()
	return slope*size + intercept
}

// String returns the sizes, the values and the fitted line on one line of text.
func (s Series) String() string {
	slope, intercept, r2 := s.Fit()
	line := fmt.Sprintf("%-34s", s.Name)
	for i := range s.Sizes {
		line += fmt.Sprintf(" %8.0f:%-10.4g", s.Sizes[i], s.Values[i])
	}
	return line + fmt.Sprintf("  %.4g %s per %s + %.4g (r2 %.3f)", slope, s.Unit, s.Per, intercept, r2)
}
