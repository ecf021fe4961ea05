package observe

import (
	"math"
	"time"
)

type fieldKind uint8

const (
	stringField fieldKind = iota
	intField
	durationField
	boolField
	errorField
	floatField
)

// Field is one key of a log line with its typed value.
type Field struct {
	key    string
	kind   fieldKind
	text   string
	number int64
	err    error
}

// Str returns a text field. Values longer than 200 bytes are truncated, so that
// hostile input can't fill the log.
func Str(key, value string) Field { return Field{key: key, kind: stringField, text: value} }

// Int returns an integer field.
func Int(key string, value int) Field { return Int64(key, int64(value)) }

// Int64 returns an integer field.
func Int64(key string, value int64) Field { return Field{key: key, kind: intField, number: value} }

// Float returns a field with a decimal number.
func Float(key string, value float64) Field {
	return Field{key: key, kind: floatField, number: int64(math.Float64bits(value))}
}

// Dur returns a duration field.
func Dur(key string, value time.Duration) Field {
	return Field{key: key, kind: durationField, number: int64(value)}
}

// Bool returns a boolean field.
func Bool(key string, value bool) Field {
	f := Field{key: key, kind: boolField}
	if value {
		f.number = 1
	}
	return f
}

// Err returns an error field with the key "err".
func Err(err error) Field { return Field{key: "err", kind: errorField, err: err} }

// value returns the value that go-kit/log encodes.
func (f Field) value() any {
	switch f.kind {
	case intField:
		return f.number
	case floatField:
		return math.Float64frombits(uint64(f.number))
	case durationField:
		return time.Duration(f.number).String()
	case boolField:
		return f.number != 0
	case errorField:
		if f.err == nil {
			return ""
		}
		return clip(f.err.Error())
	}
	return clip(f.text)
}
