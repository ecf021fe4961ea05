package pipelining

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Guards against a boundary between requests in the wrong place, which would make a part of
// a body look like a request: a head ends at its first empty line.
func TestHeadEndsAtTheFirstEmptyLine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringMatching(`([a:]|\r|\n|\r\n){0,12}`).Draw(t, "text")
		want := -1
		for i := range len(text) + 1 {
			if strings.HasSuffix(text[:i], "\n\n") || strings.HasSuffix(text[:i], "\n\r\n") {
				want = i
				break
			}
		}
		if got := headEnd([]byte(text)); got != want {
			t.Fatalf("headEnd(%q) = %d, want %d", text, got, want)
		}
	})
}
