package config

import (
	"bytes"
	"io"
	"slices"
	"strconv"

	"go.yaml.in/yaml/v3"
)

// Tags that the YAML library assigns to plain scalars.
const (
	tagString = "!!str"
	tagInt    = "!!int"
	tagFloat  = "!!float"
	tagBool   = "!!bool"
	tagNull   = "!!null"
	tagTime   = "!!timestamp"
)

// maxDepth is greater than the nesting depth of any Set. It limits the recursion
// that a malicious JSON file can cause.
const maxDepth = 16

// fieldReaders maps the field names that an object may have to the functions that read
// them.
type fieldReaders map[string]func(n *yaml.Node, path string) error

// readObject reads each field of n and returns the names of the fields present.
// Unknown, repeated and missing fields are errors; the returned error lists all of
// them together with the errors of the field readers.
func readObject(n *yaml.Node, path string, readers fieldReaders, required ...string) (map[string]bool, error) {
	if n.Kind != yaml.MappingNode {
		return nil, nodeError(n, path, "an object with fields")
	}
	var errs ParseErrors
	present := make(map[string]bool, len(n.Content)/2)
	for i := 0; i+1 < len(n.Content); i += 2 {
		key := n.Content[i]
		name := joinPath(path, key.Value)
		read, known := readers[key.Value]
		if !known || key.Kind != yaml.ScalarNode {
			errs = append(errs, nodeError(key, name, "a known field"))
			continue
		}
		if present[key.Value] {
			errs = append(errs, nodeError(key, name, "each field once"))
			continue
		}
		present[key.Value] = true
		errs = errs.with(read(n.Content[i+1], name))
	}
	for _, name := range required {
		if !present[name] {
			errs = append(errs, &ParseError{Line: n.Line, Field: joinPath(path, name), Want: "this field, which is missing"})
		}
	}
	return present, errs.orNil()
}

// readList reads every entry of n. The returned error lists the errors of all
// entries.
func readList[T any](n *yaml.Node, path string, limit int, out *[]T, read func(*yaml.Node, string, *T) error) error {
	if n.Kind != yaml.SequenceNode {
		return nodeError(n, path, "a list")
	}
	if len(n.Content) > limit {
		return &ParseError{Line: n.Line, Field: path, Value: strconv.Itoa(len(n.Content)), Want: "at most " + strconv.Itoa(limit) + " entries"}
	}
	if len(n.Content) == 0 {
		return nil
	}
	var errs ParseErrors
	list := make([]T, len(n.Content))
	for i, item := range n.Content {
		errs = errs.with(read(item, path+"["+strconv.Itoa(i)+"]", &list[i]))
	}
	*out = list
	return errs.orNil()
}

func isScalar(n *yaml.Node, tags ...string) bool {
	return n.Kind == yaml.ScalarNode && slices.Contains(tags, n.ShortTag())
}

func nodeError(n *yaml.Node, path, want string) *ParseError {
	value := n.Value
	switch n.Kind {
	case yaml.MappingNode:
		value = "an object"
	case yaml.SequenceNode:
		value = "a list"
	case yaml.AliasNode:
		value = "an alias"
	}
	return &ParseError{Line: n.Line, Field: path, Value: value, Want: want}
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// parseYAML parses a file with exactly one YAML document. Aliases are not resolved,
// and every reader rejects them, so that a small file can't expand into a large
// one.
func parseYAML(data []byte) (*yaml.Node, error) {
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	var document yaml.Node
	if err := decoder.Decode(&document); err != nil {
		return nil, &ParseError{Field: rootField, Value: err.Error(), Want: "a YAML document"}
	}
	var more yaml.Node
	if err := decoder.Decode(&more); err != io.EOF {
		return nil, &ParseError{Line: more.Line, Field: rootField, Want: "one YAML document only"}
	}
	if document.Kind != yaml.DocumentNode || len(document.Content) != 1 {
		return nil, &ParseError{Field: rootField, Want: "a YAML document"}
	}
	return document.Content[0], nil
}
