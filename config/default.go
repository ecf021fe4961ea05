package config

import (
	_ "embed"
	"sync"
)

//go:embed default.yaml
var defaultFile []byte

var defaultSet = sync.OnceValue(func() Set {
	s, err := Parse(defaultFile, YAML)
	if err != nil {
		panic(err) // The embedded file is invalid; every test of this package would fail.
	}
	return s
})

// Default returns the embedded Set, version 0, which is active on a node until it
// receives a stored one.
func Default() Set { return defaultSet().clone() }
