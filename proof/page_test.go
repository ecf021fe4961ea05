package proof

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

var (
	testName     = regexp.MustCompile(`\bTest[A-Z]\w*(/\w+)?`)
	testFunction = regexp.MustCompile(`(?m)^func (Test\w+)\(`)
)

// The page must lead a reader from each promise to its tests: every test that it
// names must exist, every subtest that it names must belong to a safeguard, and
// the page must name every safeguard.
func TestPageNamesTestsThatExist(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../docs/PROMISES.md")
	c.Assert(err, qt.IsNil)
	functions := testFunctions(c)
	subtests := make(map[string]bool)
	for _, s := range safeguards {
		name := "TestEachSafeguardIsNeeded/" + strings.ReplaceAll(s.name, " ", "_")
		subtests[name] = true
		c.Check(string(page), qt.Contains, name)
	}
	named := testName.FindAllString(string(page), -1)
	c.Check(len(named) > 0, qt.IsTrue)
	for _, name := range named {
		function, sub, _ := strings.Cut(name, "/")
		c.Check(functions[function], qt.IsTrue, qt.Commentf("%s", name))
		c.Check(sub == "" || subtests[name], qt.IsTrue, qt.Commentf("%s", name))
	}
}

// testFunctions returns the names of all test functions in the workspace.
func testFunctions(c *qt.C) map[string]bool {
	found := make(map[string]bool)
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		source, err := os.ReadFile(path)
		for _, match := range testFunction.FindAllStringSubmatch(string(source), -1) {
			found[match[1]] = true
		}
		return err
	})
	c.Assert(err, qt.IsNil)
	return found
}
