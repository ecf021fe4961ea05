package config

import (
	"bytes"
	"encoding/json"
	"io"
	"strconv"

	"go.yaml.in/yaml/v3"
)

// parseJSON builds the same kind of tree as parseYAML, so that one set of readers
// serves both formats. Unmarshalling with encoding/json would hide repeated fields
// and line numbers.
func parseJSON(data []byte) (*yaml.Node, error) {
	reader := &jsonReader{data: data, decoder: json.NewDecoder(bytes.NewReader(data)), line: 1}
	reader.decoder.UseNumber()
	root, err := reader.value(0)
	if err != nil {
		return nil, err
	}
	if _, err := reader.decoder.Token(); err != io.EOF {
		return nil, reader.fail("", "one JSON value only")
	}
	return root, nil
}

type jsonReader struct {
	data    []byte
	decoder *json.Decoder
	// line is the line number at byte offset counted.
	line    int
	counted int64
}

func (r *jsonReader) token() (json.Token, error) {
	token, err := r.decoder.Token()
	if err != nil {
		return nil, r.fail(err.Error(), "JSON")
	}
	offset := r.decoder.InputOffset()
	r.line += bytes.Count(r.data[r.counted:offset], []byte{'\n'})
	r.counted = offset
	return token, nil
}

func (r *jsonReader) fail(value, want string) *ParseError {
	return &ParseError{Line: r.line, Field: rootField, Value: value, Want: want}
}

func (r *jsonReader) value(depth int) (*yaml.Node, error) {
	token, err := r.token()
	if err != nil {
		return nil, err
	}
	scalar := func(tag, value string) *yaml.Node {
		return &yaml.Node{Kind: yaml.ScalarNode, Tag: tag, Value: value, Line: r.line}
	}
	switch token := token.(type) {
	case json.Delim:
		return r.composite(token, depth+1)
	case string:
		return scalar(tagString, token), nil
	case json.Number:
		return scalar(numberTag(token.String()), token.String()), nil
	case bool:
		return scalar(tagBool, strconv.FormatBool(token)), nil
	}
	return scalar(tagNull, ""), nil
}

func numberTag(number string) string {
	if _, err := strconv.ParseInt(number, 10, 64); err == nil {
		return tagInt
	}
	return tagFloat
}

// composite reads an object or list after its opening delimiter. The decoder has
// already checked that delimiters match.
func (r *jsonReader) composite(open json.Delim, depth int) (*yaml.Node, error) {
	if depth > maxDepth {
		return nil, r.fail("", "a nesting of at most 16")
	}
	node := &yaml.Node{Kind: yaml.SequenceNode, Line: r.line}
	if open == '{' {
		node.Kind = yaml.MappingNode
	}
	for r.decoder.More() {
		child, err := r.value(depth)
		if err != nil {
			return nil, err
		}
		node.Content = append(node.Content, child)
	}
	_, err := r.token()
	return node, err
}
