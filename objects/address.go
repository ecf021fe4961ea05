package objects

// Limits that every Store enforces.
const (
	// MaxValue is the maximum size of an object's value, in bytes. Encoded in
	// base64 and wrapped in JSON, a value of this size stays within the one
	// megabyte that a store accepts.
	MaxValue = 750_000
	// maxKind and maxName are the maximum lengths of an object's kind and name,
	// in bytes.
	maxKind = 63
	maxName = 253
)

// CheckAddress returns an *InvalidError unless kind and name are both well
// formed. A Store calls it before it spends a call of its budget.
func CheckAddress(kind, name string) error {
	if err := CheckKind(kind); err != nil {
		return err
	}
	if !validName(name) {
		return &InvalidError{Field: "name", Value: name, Want: "1 to 253 of letters, digits and -_.:~, a letter or digit first"}
	}
	return nil
}

// CheckKind returns an *InvalidError unless kind is well formed.
func CheckKind(kind string) error {
	if !validKind(kind) {
		return &InvalidError{Field: "kind", Value: kind, Want: "1 to 63 of lower-case letters, digits and dashes, a letter first"}
	}
	return nil
}

// CheckPrefix returns an *InvalidError unless prefix is empty or a prefix of a
// valid name.
func CheckPrefix(prefix string) error {
	if !validPrefix(prefix) {
		return &InvalidError{Field: "prefix", Value: prefix, Want: "a prefix of a valid name, or empty"}
	}
	return nil
}

// CheckVersion returns an *InvalidError for version 0, which no stored object
// has.
func CheckVersion(version uint64) error {
	if version == 0 {
		return &InvalidError{Field: "version", Value: "0", Want: "the version returned by a read"}
	}
	return nil
}

// CheckValue returns a *TooLargeError if value is longer than MaxValue.
func CheckValue(value []byte) error {
	if len(value) > MaxValue {
		return &TooLargeError{What: "value", Size: int64(len(value)), Limit: MaxValue}
	}
	return nil
}

// validKind reports whether s is a valid kind: lower-case letters, digits and
// dashes, starting with a letter.
func validKind(s string) bool {
	if s == "" || len(s) > maxKind || s[0] < 'a' || s[0] > 'z' {
		return false
	}
	for i := range len(s) {
		if !isLower(s[i]) && !isDigit(s[i]) && s[i] != '-' {
			return false
		}
	}
	return true
}

// validName reports whether s is a valid name: letters, digits and -_.:~,
// starting with a letter or digit. This excludes "." and "..", which a server
// that cleans URL paths would resolve to a different address.
func validName(s string) bool {
	return validPrefix(s) && s != ""
}

// validPrefix reports whether s is a valid name or empty.
func validPrefix(s string) bool {
	if len(s) > maxName {
		return false
	}
	for i := range len(s) {
		if !isNameByte(s[i], i == 0) {
			return false
		}
	}
	return true
}

func isNameByte(b byte, first bool) bool {
	if isLower(b) || isDigit(b) || (b >= 'A' && b <= 'Z') {
		return true
	}
	if first {
		return false
	}
	return b == '-' || b == '_' || b == '.' || b == ':' || b == '~'
}

func isLower(b byte) bool { return b >= 'a' && b <= 'z' }

func isDigit(b byte) bool { return b >= '0' && b <= '9' }
