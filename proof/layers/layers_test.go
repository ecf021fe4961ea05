package layers

import (
	"os"
	"strings"
	"testing"
	"testing/fstest"

	qt "github.com/frankban/quicktest"
)

// root is the project's root folder relative to this package.
const root = "../.."

// readProject reads the project's table of layers and its sources.
func readProject(c *qt.C) (Order, Sources) {
	page, err := os.ReadFile(root + "/docs/DESIGN.md")
	c.Assert(err, qt.IsNil)
	order, err := ReadOrder(string(page))
	c.Assert(err, qt.IsNil)
	sources, err := ReadSources(os.DirFS(root))
	c.Assert(err, qt.IsNil)
	return order, sources
}

// TestModulesImportLowerLayersOnly fails if a developer adds an import that
// violates the order, such as an import of node in a decision package. The
// import compiles and all other tests pass, but the module can then no longer
// be used on its own.
func TestModulesImportLowerLayersOnly(t *testing.T) {
	c := qt.New(t)
	order, sources := readProject(c)
	for _, violation := range order.Check(sources) {
		c.Errorf("%v", violation)
	}
	c.Assert(len(sources.Imports) > 100, qt.IsTrue, qt.Commentf("%d imports read", len(sources.Imports)))
}

// Check must report each import that violates the order, with the importing
// file: an import of a higher layer, an import within the same layer, and an
// import of its own module by a package that has a separate layer.
func TestPlantedImportIsTold(t *testing.T) {
	for _, test := range []struct{ name, file, imported, want string }{
		{"upwards", "admission/planted.go", "node", "admission/planted.go imports node: admission is in layer 2, node in layer 5"},
		{"within the layer", "retry/deep/planted.go", "routing", "retry/deep/planted.go imports routing: retry is in layer 2, routing in layer 2"},
		{"a helper of tests", "objects/planted.go", "node/testing/memnet", "objects/planted.go imports node/testing/memnet: objects is in layer 3, node in layer 5"},
		{"apart from its module", "platform/store/planted.go", "platform", "platform/store/planted.go imports platform: platform/store is in layer 4, platform in layer 6"},
		{"a module without a layer", "call/planted.go", "attic", "attic is in no layer"},
		{"from a module without a layer", "attic/planted.go", "call", "attic is in no layer"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			order, sources := readProject(c)
			planted, err := ReadSources(fstest.MapFS{
				test.file: {Data: []byte("package planted\n\nimport _ \"" + projectPath + test.imported + "\"\n")},
			})
			c.Assert(err, qt.IsNil)
			sources.Folders = append(sources.Folders, planted.Folders...)
			sources.Imports = planted.Imports
			violations := order.Check(sources)
			c.Assert(violations, qt.HasLen, 1)
			c.Assert(violations[0].Error(), qt.Equals, test.want)
		})
	}
}

// Check must not report an import of a lower layer, within a module, of another
// project's package, or in a test file.
func TestImportInOrderIsNotTold(t *testing.T) {
	c := qt.New(t)
	sources, err := ReadSources(fstest.MapFS{
		"low/low.go":          {Data: []byte("package low\n")},
		"low/low_test.go":     {Data: []byte("package low\n\nimport _ \"pollengauge.dev/high\"\n")},
		"low/testdata/bad.go": {Data: []byte("package bad\n\nimport _ \"pollengauge.dev/high\"\n")},
		"high/high.go":        {Data: []byte("package high\n\nimport (\n\t_ \"fmt\"\n\t_ \"pollengauge.dev/high/part\"\n\t_ \"pollengauge.dev/low\"\n)\n")},
		"high/part/part.go":   {Data: []byte("package part\n")},
	})
	c.Assert(err, qt.IsNil)
	c.Assert(sources.Imports, qt.HasLen, 2)
	c.Assert(Order{"low": 1, "high": 2}.Check(sources), qt.HasLen, 0)
}

// Check must report a table entry that is left over from a removed module.
func TestEntryWithoutSourceIsTold(t *testing.T) {
	c := qt.New(t)
	violations := Order{"gone": 1}.Check(Sources{})
	c.Assert(violations, qt.HasLen, 1)
	c.Assert(violations[0].Error(), qt.Equals, "gone is in a layer and has no source")
}

// ReadOrder must reject a page whose table of layers is missing or ambiguous.
// Check would otherwise let wrong imports pass.
func TestPageThatCannotBeReadIsRefused(t *testing.T) {
	for name, page := range map[string]string{
		"no table":            "# Design\n",
		"another section":     "## Others\n\n| 1 | `call` | |\n",
		"no module":           "## Layers\n\n| 1 | call | |\n",
		"a module twice":      "## Layers\n\n| 1 | `call` | |\n| 2 | `call` | |\n",
		"a layer past bounds": "## Layers\n\n| " + strings.Repeat("9", 30) + " | `call` | |\n",
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			_, err := ReadOrder(page)
			var pageErr *PageError
			c.Assert(err, qt.ErrorAs, &pageErr)
		})
	}
}

// ReadSources must reject a file that can't be parsed, since it may contain any
// import.
func TestSourceThatCannotBeReadIsRefused(t *testing.T) {
	c := qt.New(t)
	_, err := ReadSources(fstest.MapFS{"call/call.go": {Data: []byte("import")}})
	var sourceErr *SourceError
	c.Assert(err, qt.ErrorAs, &sourceErr)
	c.Assert(sourceErr.File, qt.Equals, "call/call.go")
}
