package workload

import (
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// apply puts a new value in place of a field, or adds the field. The way to it
// is by the names of fields, and by the names or numbers of items of lists.
func (r *reader) apply(root *yaml.Node, s setting) {
	steps := strings.Split(s.path, ".")
	n := root
	for _, step := range steps[:len(steps)-1] {
		if n = child(n, step); n == nil {
			r.refuse(s.line, s.path, step, "a field, or the name or number of an item")
			return
		}
	}
	last := steps[len(steps)-1]
	if place := child(n, last); place != nil {
		*place = *s.value
		return
	}
	if n.Kind != yaml.MappingNode {
		r.refuse(s.line, s.path, last, "a field, or the name or number of an item")
		return
	}
	n.Content = append(n.Content, &yaml.Node{Kind: yaml.ScalarNode, Value: last, Line: s.line}, s.value)
}

// child returns the field or item, nil if there is none.
func child(n *yaml.Node, step string) *yaml.Node {
	switch n.Kind {
	case yaml.MappingNode:
		for i := 0; i+1 < len(n.Content); i += 2 {
			if n.Content[i].Value == step {
				return n.Content[i+1]
			}
		}
	case yaml.SequenceNode:
		if i, err := strconv.Atoi(step); err == nil && i >= 0 && i < len(n.Content) {
			return n.Content[i]
		}
		for _, item := range n.Content {
			if item.Kind != yaml.MappingNode {
				continue
			}
			if name := child(item, "name"); name != nil && name.Value == step {
				return item
			}
		}
	}
	return nil
}
