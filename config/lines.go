package config

import (
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// lineOf returns the line of the field at path, such as profiles[2].deadline, or of
// the innermost enclosing object or list that the file contains. It returns 0 if
// the file contains no part of the path.
func lineOf(root *yaml.Node, path string) int {
	line := 0
	n := root
	for _, step := range strings.FieldsFunc(path, func(r rune) bool { return strings.ContainsRune(".[]", r) }) {
		childLine, next := child(n, step)
		if next == nil {
			break
		}
		line = childLine
		n = next
	}
	return line
}

// child returns the field or entry of n that step names, and its line. For a field
// that is the line of its name, because the value may start a line later.
func child(n *yaml.Node, step string) (int, *yaml.Node) {
	switch n.Kind {
	case yaml.SequenceNode:
		if i, err := strconv.Atoi(step); err == nil && i < len(n.Content) {
			return n.Content[i].Line, n.Content[i]
		}
	case yaml.MappingNode:
		for i := 0; i+1 < len(n.Content); i += 2 {
			if n.Content[i].Value == step {
				return n.Content[i].Line, n.Content[i+1]
			}
		}
	}
	return 0, nil
}

// setLines sets the lines of the problems if err is a *ValidationError.
func setLines(err error, root *yaml.Node) error {
	if invalid, ok := err.(*ValidationError); ok {
		for i := range invalid.Problems {
			problem := &invalid.Problems[i]
			problem.Line = lineOf(root, problem.Path)
		}
	}
	return err
}
