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

// fields maps the field names that an object may have to the functions that read
// them.
type fields map[string]func(n *yaml.Node, at string) error

// readObject reads each field of n and returns the names of the fields present.
// Unknown, repeated and missing fields are errors; the returned error lists all of
// them together with the errors of the field readers.
func readObject(n *yaml.Node, at string, readers fields, required ...string) (map[string]bool, error) {
	if n.Kind != yaml.MappingNode {
		return nil, badNode(n, at, "an object with fields")
	}
	var refused ParseErrors
	present := make(map[string]bool, len(n.Content)/2)
	for i := 0; i+1 < len(n.Content); i += 2 {
		key := n.Content[i]
		name := join(at, key.Value)
		read, known := readers[key.Value]
		if !known || key.Kind != yaml.ScalarNode {
			refused = append(refused, badNode(key, name, "a known field"))
			continue
		}
		if present[key.Value] {
			refused = append(refused, badNode(key, name, "each field once"))
			continue
		}
		present[key.Value] = true
		refused = refused.with(read(n.Content[i+1], name))
	}
	for _, name := range required {
		if !present[name] {
			refused = append(refused, &ParseError{Line: n.Line, Field: join(at, name), Want: "this field, which is missing"})
		}
	}
	return present, refused.orNil()
}

// readList reads every entry of n. The returned error lists the errors of all
// entries.
func readList[T any](n *yaml.Node, at string, limit int, out *[]T, read func(*yaml.Node, string, *T) error) error {
	if n.Kind != yaml.SequenceNode {
		return badNode(n, at, "a list")
	}
	if len(n.Content) > limit {
		return &ParseError{Line: n.Line, Field: at, Value: strconv.Itoa(len(n.Content)), Want: "at most " + strconv.Itoa(limit) + " entries"}
	}
	if len(n.Content) == 0 {
		return nil
	}
	var refused ParseErrors
	list := make([]T, len(n.Content))
	for i, item := range n.Content {
		refused = refused.with(read(item, at+"["+strconv.Itoa(i)+"]", &list[i]))
	}
	*out = list
	return refused.orNil()
}

func isScalar(n *yaml.Node, tags ...string) bool {
	return n.Kind == yaml.ScalarNode && slices.Contains(tags, n.ShortTag())
}

func badNode(n *yaml.Node, at, want string) *ParseError {
	value := n.Value
	switch n.Kind {
	case yaml.MappingNode:
		value = "an object"
	case yaml.SequenceNode:
		value = "a list"
	case yaml.AliasNode:
		value = "an alias"
	}
	return &ParseError{Line: n.Line, Field: at, Value: value, Want: want}
}

func join(at, name string) string {
	if at == "" {
		return name
	}
	return at + "." + name
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
