package compare

import (
	"math"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
)

func near(c *qt.C, got *float64, want float64) {
	c.Assert(got, qt.IsNotNil)
	c.Check(math.Abs(*got-want) < 1e-3, qt.IsTrue, qt.Commentf("%v, want %v", *got, want))
}

// The differences are 1, 2, 3, 4, 5: mean 3, deviation 1.5811, and 2.7764 is the
// quantile of Student's distribution with four degrees of freedom.
func TestPairedKnownNumbers(t *testing.T) {
	c := qt.New(t)
	d := Paired([]float64{10, 20, 30, 40, 50}, []float64{11, 22, 33, 44, 55})
	c.Check(d.Pairs, qt.Equals, 5)
	c.Check(d.Mean, qt.Equals, 3.0)
	near(c, d.Low, 3-2.7764*1.5811/math.Sqrt(5))
	near(c, d.High, 3+2.7764*1.5811/math.Sqrt(5))
	c.Check(d.Certain(), qt.IsTrue)
}

func TestPairedEdges(t *testing.T) {
	c := qt.New(t)
	c.Check(Paired(nil, []float64{1}), qt.Equals, Difference{})
	one := Paired([]float64{1}, []float64{3, 9})
	c.Check(one, qt.Equals, Difference{Pairs: 1, Mean: 2})
	c.Check(one.Certain(), qt.IsFalse)
	same := Paired([]float64{1, 2}, []float64{1, 2})
	near(c, same.Low, 0)
	c.Check(same.Certain(), qt.IsFalse)
	across := Paired([]float64{0, 0, 0}, []float64{-1, 0, 2})
	c.Check(across.Certain(), qt.IsFalse)
}

// Of many series without a difference, some five in a hundred have an interval
// that leaves out zero.
func TestIntervalsHoldAsOftenAsTheySay(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	wrong := 0
	const series = 2000
	for range series {
		base, changed := make([]float64, 6), make([]float64, 6)
		for i := range base {
			common := random.NormFloat64() * 10
			base[i], changed[i] = common+random.NormFloat64(), common+random.NormFloat64()
		}
		if Paired(base, changed).Certain() {
			wrong++
		}
	}
	c.Check(wrong > series*3/100 && wrong < series*7/100, qt.IsTrue, qt.Commentf("%d of %d", wrong, series))
}
