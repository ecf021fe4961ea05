package workload

import (
	"math"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// reader reads a tree of YAML and collects what is wrong with it.
type reader struct {
	problems []Problem
	// lines has where each field stands.
	lines map[string]int
}

// read reads the field at a path.
type read func(n *yaml.Node, at string)

func (r *reader) refuse(line int, at, value, want string) {
	r.problems = append(r.problems, Problem{Line: line, Field: at, Value: value, Want: want})
}

// line is that of a field, or of what encloses it if it was left out.
func (r *reader) line(at string) int {
	for at != "" {
		if line, ok := r.lines[at]; ok {
			return line
		}
		at = at[:max(strings.LastIndexAny(at, ".["), 0)]
	}
	return 1
}

func (r *reader) is(n *yaml.Node, at string, kind yaml.Kind, want string) bool {
	r.lines[at] = n.Line
	if n.Kind != kind {
		r.refuse(n.Line, at, n.Value, want)
		return false
	}
	return true
}

// mapping reads a mapping of known fields, each at most once.
func (r *reader) mapping(n *yaml.Node, at string, fields map[string]read) {
	if !r.is(n, at, yaml.MappingNode, "fields") {
		return
	}
	seen := make(map[string]bool)
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, value := n.Content[i], n.Content[i+1]
		path := join(at, key.Value)
		field, ok := fields[key.Value]
		switch {
		case !ok:
			r.refuse(key.Line, path, key.Value, "a known field")
		case seen[key.Value]:
			r.refuse(key.Line, path, key.Value, "each field once")
		default:
			seen[key.Value] = true
			field(value, path)
		}
	}
}

func join(at, field string) string {
	if at == "" {
		return field
	}
	return at + "." + field
}

// list reads a list, item by item.
func list[T any](r *reader, to *[]T, item func(n *yaml.Node, at string, to *T)) read {
	return func(n *yaml.Node, at string) {
		if !r.is(n, at, yaml.SequenceNode, "a list") {
			return
		}
		*to = make([]T, len(n.Content))
		for i, content := range n.Content {
			item(content, at+"["+strconv.Itoa(i)+"]", &(*to)[i])
		}
	}
}

func (r *reader) readText(n *yaml.Node, at string, to *string) {
	if r.is(n, at, yaml.ScalarNode, "text") {
		*to = n.Value
	}
}

func (r *reader) readInt(n *yaml.Node, at string, to *int) {
	if !r.is(n, at, yaml.ScalarNode, "a whole number") {
		return
	}
	value, err := strconv.Atoi(n.Value)
	if err != nil {
		r.refuse(n.Line, at, n.Value, "a whole number")
		return
	}
	*to = value
}

func (r *reader) readFloat(n *yaml.Node, at string, to *float64) {
	if !r.is(n, at, yaml.ScalarNode, "a number") {
		return
	}
	value, err := strconv.ParseFloat(n.Value, 64)
	if err != nil || math.IsNaN(value) || math.IsInf(value, 0) {
		r.refuse(n.Line, at, n.Value, "a number")
		return
	}
	*to = value
}

func (r *reader) text(to *string) read {
	return func(n *yaml.Node, at string) { r.readText(n, at, to) }
}

func (r *reader) number(to *int) read {
	return func(n *yaml.Node, at string) { r.readInt(n, at, to) }
}

func (r *reader) float(to *float64) read {
	return func(n *yaml.Node, at string) { r.readFloat(n, at, to) }
}

func (r *reader) boolean(to *bool) read {
	return func(n *yaml.Node, at string) {
		if !r.is(n, at, yaml.ScalarNode, "true or false") {
			return
		}
		if n.Value != "true" && n.Value != "false" {
			r.refuse(n.Line, at, n.Value, "true or false")
			return
		}
		*to = n.Value == "true"
	}
}

func (r *reader) duration(to *time.Duration) read {
	return func(n *yaml.Node, at string) {
		const want = "a duration with its unit, as 250ms"
		if !r.is(n, at, yaml.ScalarNode, want) {
			return
		}
		value, err := time.ParseDuration(n.Value)
		if err != nil || value < 0 {
			r.refuse(n.Line, at, n.Value, want)
			return
		}
		*to = value
	}
}
