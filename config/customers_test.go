package config_test

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/config"
)

func withWeight(weight string) string {
	return minimal + "customers:\n  - {name: a, keyDigests: [], rate: 5, weight: " + weight + "}\n  - {name: b, keyDigests: []}\n"
}

// Guards against a weight that can't be compared being applied: an operator who writes 0 to
// exclude a customer, or makes a typing error, must get an error that names the place.
func TestInvalidWeightsAreRefused(t *testing.T) {
	c := qt.New(t)
	for _, weight := range []string{"0", "0.0", "-0", "1e-999", "high", "nan", ".nan", ".inf", `"3"`} {
		_, err := config.Parse([]byte(withWeight(weight)), config.YAML)
		var parse *config.ParseError
		c.Assert(errors.As(err, &parse), qt.IsTrue, qt.Commentf("%s: %v", weight, err))
		c.Check(parse.Line, qt.Equals, 4)
		c.Check(parse.Field, qt.Equals, "customers[0].weight")
	}
	for _, weight := range []string{"-1", "1000.1", "1e300"} {
		_, err := config.Parse([]byte(withWeight(weight)), config.YAML)
		var refused *config.ValidationError
		c.Assert(errors.As(err, &refused), qt.IsTrue, qt.Commentf("%s: %v", weight, err))
		c.Check(refused.Problems[0].Path, qt.Equals, "customers[0].weight")
		c.Check(refused.Problems[0].Line, qt.Equals, 4)
	}
}

// Guards against a weight that is lost on its way to the nodes or missing in a diff, and against
// a field in the sets of operators who use no weights: older builds would refuse it.
func TestWeightsReachTheNodes(t *testing.T) {
	c := qt.New(t)
	set, err := config.Parse([]byte(withWeight("3")), config.YAML)
	c.Assert(err, qt.IsNil)
	set.Version = 2
	encoded, err := config.Encode(set)
	c.Assert(err, qt.IsNil)
	decoded, err := config.Decode(encoded)
	c.Assert(err, qt.IsNil)
	c.Check(decoded.Customers[0].ShareWeight(), qt.Equals, 3.0)
	c.Check(decoded.Customers[1].ShareWeight(), qt.Equals, 1.0)
	without := decoded
	without.Customers = append(without.Customers[:0:0], without.Customers...)
	without.Customers[0].Weight = 0
	c.Check(config.FormatDiff(config.Diff(without, decoded)), qt.Equals, "~ customers[a].weight: 1 -> 3\n")
	encoded, err = config.Encode(without)
	c.Assert(err, qt.IsNil)
	c.Check(string(encoded), qt.Not(qt.Contains), "weight")
}
