package node

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against an event of the catalogue that no code emits: an operator's alert on it
// would never fire. Each event must be emitted here or by the logger itself.
func TestEveryEventIsEmitted(t *testing.T) {
	c := qt.New(t)
	defined := regexp.MustCompile(`(?m)^\t([A-Z]\w+) += defineEvent\(`)
	var names []string
	var code strings.Builder
	for _, pattern := range []string{"*.go", "../observe/*.go", "../platform/*.go"} {
		files, err := filepath.Glob(pattern)
		c.Assert(err, qt.IsNil)
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			data, err := os.ReadFile(file)
			c.Assert(err, qt.IsNil)
			for _, match := range defined.FindAllStringSubmatch(string(data), -1) {
				names = append(names, match[1])
			}
			code.Write(defined.ReplaceAll(data, nil))
		}
	}
	c.Assert(len(names) > 50, qt.IsTrue, qt.Commentf("%d events found", len(names)))
	for _, name := range names {
		used := regexp.MustCompile(`(observe\.|write\(|Itoa\()` + name + `\b`).MatchString(code.String())
		c.Check(used, qt.IsTrue, qt.Commentf("%s is never emitted", name))
	}
}
