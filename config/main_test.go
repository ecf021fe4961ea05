package config_test

import (
	"flag"
	"os"
	"testing"
)

// rapidSeed makes every run draw the same cases. Pass -rapid.seed to draw others.
const rapidSeed = "20261202"

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		if err := f.Value.Set(rapidSeed); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
