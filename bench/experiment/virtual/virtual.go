// Package virtual runs functions in virtual time outside of tests.
//
// The clock is that of testing/synctest: it moves on only when every goroutine
// of the function waits, so that a busy machine changes how long a run takes and
// nothing else. That package wants a testing.T, of which it uses no more than a
// new one has.
package virtual

import (
	"testing"
	"testing/synctest"
)

// Run calls f in a bubble of its own and returns once f and every goroutine that
// it started have ended. Calls may run side by side. f must not wait for anything
// outside the bubble: its clock would stand still meanwhile.
func Run(f func()) {
	synctest.Test(new(testing.T), func(*testing.T) { f() })
}
