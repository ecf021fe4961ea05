package layers

import (
	"regexp"
	"slices"
	"strconv"
	"strings"
)

const (
	// heading is the heading of the section that contains the table.
	heading = "## Layers"
	// nextHeading is the prefix of every section heading of that level.
	nextHeading = "## "
)

var (
	// row matches a line of the table: the layer number, then its modules.
	row = regexp.MustCompile(`^\| (\d+) \| ([^|]*) \|`)
	// quoted matches a module's folder in backquotes.
	quoted = regexp.MustCompile("`([^`]+)`")
)

// Order maps folders to layers. A folder is that of a module, or of a package
// that has a layer of its own, separate from the rest of its module.
type Order map[string]int

// ReadOrder parses the table in the section "Layers" of a Markdown page.
func ReadOrder(page string) (Order, error) {
	order := make(Order)
	inside := false
	for i, line := range strings.Split(page, "\n") {
		if strings.HasPrefix(line, nextHeading) {
			inside = line == heading
		}
		match := row.FindStringSubmatch(line)
		if !inside || match == nil {
			continue
		}
		layer, err := strconv.Atoi(match[1])
		if err != nil {
			return nil, &PageError{Line: i + 1, Want: "the number of a layer"}
		}
		if err := order.place(match[2], layer, i+1); err != nil {
			return nil, err
		}
	}
	if len(order) == 0 {
		return nil, &PageError{Line: 1, Want: "a table under the heading " + heading}
	}
	return order, nil
}

// place assigns the modules in one table cell to a layer.
func (o Order) place(cell string, layer, line int) error {
	modules := quoted.FindAllStringSubmatch(cell, -1)
	if len(modules) == 0 {
		return &PageError{Line: line, Want: "modules in backquotes"}
	}
	for _, module := range modules {
		if _, twice := o[module[1]]; twice {
			return &PageError{Line: line, Want: module[1] + " in one layer only"}
		}
		o[module[1]] = layer
	}
	return nil
}

// moduleOf returns the longest entry that is the package's folder or one of its
// parents, or "" if there is none.
func (o Order) moduleOf(folder string) string {
	for at := folder; at != ""; {
		if _, placed := o[at]; placed {
			return at
		}
		at = at[:max(strings.LastIndexByte(at, '/'), 0)]
	}
	return ""
}

// Check returns an error for each import, module and table entry that violates
// the order, sorted by text.
func (o Order) Check(sources Sources) []error {
	var violations []error
	present := make(map[string]bool)
	for _, folder := range sources.Folders {
		module := o.moduleOf(folder)
		if module == "" {
			violations = append(violations, &UnplacedError{Module: folder})
		}
		present[module] = true
	}
	for _, one := range sources.Imports {
		if err := o.checkImport(one); err != nil {
			violations = append(violations, err)
		}
	}
	for module := range o {
		if !present[module] {
			violations = append(violations, &AbsentError{Module: module})
		}
	}
	slices.SortFunc(violations, func(a, b error) int { return strings.Compare(a.Error(), b.Error()) })
	return violations
}

func (o Order) checkImport(one Import) error {
	from, to := o.moduleOf(one.folder()), o.moduleOf(one.Package)
	if to == "" {
		return &UnplacedError{Module: one.Package}
	}
	if from == "" || from == to || o[to] < o[from] {
		return nil // Check reports an importing module without a layer by its folder
	}
	return &OrderError{Import: one, From: from, To: to, FromLayer: o[from], ToLayer: o[to]}
}
