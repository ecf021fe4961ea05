package workload

import (
	"regexp"
	"strconv"

	"go.yaml.in/yaml/v3"

	"pollengauge.dev/node"
)

// File is a workload with its variants.
type File struct {
	data     []byte
	variants []variant
}

// variant is a change of the workload.
type variant struct {
	name   string
	ablate node.Ablation
	// set has new values by the path of their field.
	set []setting
}

type setting struct {
	path  string
	line  int
	value *yaml.Node
}

// onlyVariant is the name of the one variant of a file that lists none.
const onlyVariant = "as it is"

// Parse reads a file and checks each of its variants. The error is an *Error.
func Parse(data []byte) (*File, error) {
	f := &File{data: data}
	if _, err := f.read(nil, &f.variants); err != nil {
		return nil, err
	}
	if len(f.variants) == 0 {
		f.variants = []variant{{name: onlyVariant}}
	}
	for _, name := range f.Variants() {
		if _, err := f.Workload(name); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// Variants are the names of the variants. The others are compared with the
// first.
func (f *File) Variants() []string {
	names := make([]string, len(f.variants))
	for i, v := range f.variants {
		names[i] = v.name
	}
	return names
}

// Workload returns the workload of one variant. The error is an *Error or a
// *VariantError.
func (f *File) Workload(name string) (*Workload, error) {
	for i := range f.variants {
		if v := &f.variants[i]; v.name == name {
			var variants []variant
			return f.read(v, &variants)
		}
	}
	return nil, &VariantError{Name: name}
}

// read reads the file with the changes of a variant, nil for none.
func (f *File) read(v *variant, variants *[]variant) (*Workload, error) {
	name := ""
	if v != nil {
		name = v.name
	}
	root, err := tree(f.data)
	if err != nil {
		return nil, err
	}
	r := &reader{lines: make(map[string]int)}
	if v != nil {
		for _, s := range v.set {
			r.apply(root, s)
		}
	}
	w := &Workload{}
	r.readWorkload(root, w, list(r, variants, r.readVariant))
	if len(r.problems) == 0 {
		r.check(w)
		r.checkVariants(*variants)
	}
	if len(r.problems) > 0 {
		return nil, &Error{Variant: name, Problems: r.problems}
	}
	if v != nil {
		w.Ablate = v.ablate
	}
	return w, nil
}

// syntaxLine finds the line in an error of the YAML library.
var syntaxLine = regexp.MustCompile(`line (\d+)`)

// tree reads the YAML alone.
func tree(data []byte) (*yaml.Node, error) {
	var document yaml.Node
	if err := yaml.Unmarshal(data, &document); err != nil {
		line := 0
		if found := syntaxLine.FindStringSubmatch(err.Error()); found != nil {
			line, _ = strconv.Atoi(found[1])
		}
		return nil, &Error{Problems: []Problem{{Line: line, Field: "file", Value: err.Error(), Want: "YAML"}}}
	}
	if len(document.Content) != 1 {
		return nil, &Error{Problems: []Problem{{Line: 1, Field: "file", Want: "a workload"}}}
	}
	return document.Content[0], nil
}

func (r *reader) readVariant(n *yaml.Node, at string, to *variant) {
	r.mapping(n, at, map[string]read{
		"name":   r.text(&to.name),
		"ablate": r.ablation(&to.ablate),
		"set":    func(n *yaml.Node, at string) { r.readSettings(n, at, &to.set) },
	})
}

func (r *reader) readSettings(n *yaml.Node, at string, to *[]setting) {
	if !r.is(n, at, yaml.MappingNode, "fields by their path") {
		return
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key := n.Content[i]
		r.lines[join(at, key.Value)] = key.Line
		*to = append(*to, setting{path: key.Value, line: key.Line, value: n.Content[i+1]})
	}
}

func (r *reader) checkVariants(variants []variant) {
	seen := make(map[string]bool)
	for i, v := range variants {
		at := "variants[" + strconv.Itoa(i) + "].name"
		r.expect(v.name != "" && len(v.name) <= maxName && !seen[v.name], at, v.name, "a name of its own, 1 to 56 bytes")
		seen[v.name] = true
	}
}
