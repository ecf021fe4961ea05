// Package compare tells whether two series of measurements differ, where the
// measurements of one place belong together, as those of one seed do.
package compare

import (
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Confidence of the intervals.
const Confidence = 0.95

// Difference is the mean difference of pairs with its interval.
type Difference struct {
	// Pairs is how many there were.
	Pairs int     `json:"pairs"`
	Mean  float64 `json:"mean"`
	// Low and High bound the mean with 95 % confidence. They are nil for fewer
	// than two pairs, which tell nothing of chance.
	Low  *float64 `json:"low"`
	High *float64 `json:"high"`
}

// Paired returns how far each value of changed is above the value of base at
// its place. Only the places that both have are looked at. Differences are
// taken to be about normal, so that their mean follows Student's distribution.
func Paired(base, changed []float64) Difference {
	pairs := min(len(base), len(changed))
	differences := make([]float64, pairs)
	for i := range differences {
		differences[i] = changed[i] - base[i]
	}
	if pairs == 0 {
		return Difference{}
	}
	mean := stat.Mean(differences, nil)
	if pairs == 1 {
		return Difference{Pairs: pairs, Mean: mean}
	}
	deviation := stat.StdDev(differences, nil)
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(pairs - 1)}.Quantile((1 + Confidence) / 2)
	half := t * deviation / math.Sqrt(float64(pairs))
	low, high := mean-half, mean+half
	return Difference{Pairs: pairs, Mean: mean, Low: &low, High: &high}
}

// Certain reports whether the interval leaves out zero.
func (d Difference) Certain() bool {
	return d.Low != nil && (*d.Low > 0 || *d.High < 0)
}
