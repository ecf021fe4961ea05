package config

import (
	"math"
	"strconv"
	"time"

	"go.yaml.in/yaml/v3"
)

// maxFileInt is far above the range of any integer in a Set, so that a value which
// is merely out of range is reported by Validate.
const maxFileInt = math.MaxInt32

func readInt(n *yaml.Node, path string, out *int) error {
	value, err := strconv.Atoi(n.Value)
	if !isScalar(n, tagInt) || err != nil || value > maxFileInt || value < -maxFileInt {
		return nodeError(n, path, "a whole number")
	}
	*out = value
	return nil
}

func readVersion(n *yaml.Node, path string, out *uint64) error {
	value, err := strconv.ParseUint(n.Value, 10, 64)
	if !isScalar(n, tagInt) || err != nil {
		return nodeError(n, path, "a whole number from 0")
	}
	*out = value
	return nil
}

func readFloat(n *yaml.Node, path string, out *float64) error {
	value, err := strconv.ParseFloat(n.Value, 64)
	if !isScalar(n, tagInt, tagFloat) || err != nil {
		return nodeError(n, path, "a number")
	}
	*out = value
	return nil
}

func readBool(n *yaml.Node, path string, out *bool) error {
	if !isScalar(n, tagBool) || (n.Value != "true" && n.Value != "false") {
		return nodeError(n, path, "true or false")
	}
	*out = n.Value == "true"
	return nil
}

func readString[S ~string](n *yaml.Node, path string, out *S) error {
	if !isScalar(n, tagString) {
		return nodeError(n, path, "a string; put quotes around it if it looks like another type")
	}
	*out = S(n.Value)
	return nil
}

func readTime(n *yaml.Node, path string, out *time.Time) error {
	value, err := time.Parse(time.RFC3339Nano, n.Value)
	if !isScalar(n, tagString, tagTime) || err != nil {
		return nodeError(n, path, "a time such as 2026-12-02T15:04:05Z")
	}
	*out = value.UTC()
	return nil
}

// textValue is implemented by *Duration and *Preference.
type textValue interface {
	UnmarshalText(text []byte) error
}

func readText(n *yaml.Node, path string, out textValue) error {
	if !isScalar(n, tagString, tagInt, tagFloat) {
		return nodeError(n, path, "a plain value")
	}
	err := out.UnmarshalText([]byte(n.Value))
	if err == nil {
		return nil
	}
	want := err.Error()
	if value, ok := err.(*ValueError); ok {
		want = value.Want
	}
	return nodeError(n, path, want)
}
