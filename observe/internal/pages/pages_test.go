package pages

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
)

// The pages in docs must match the text generated from the catalogue. Otherwise a
// change of the catalogue alone leaves operators without the docs of an event.
func TestPagesMatchCatalogue(t *testing.T) {
	for name, want := range Pages() {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			got, err := os.ReadFile(filepath.Join("..", "..", "..", "docs", name))
			c.Assert(err, qt.IsNil)
			c.Assert(string(got) == want, qt.IsTrue, qt.Commentf("run: go run ./internal/gendocs"))
		})
	}
}
