package customer

import "strconv"

// DigestError is a text that is no Digest. It doesn't show the text, which may be a
// key that was put in a digest's place.
type DigestError struct {
	// Length is that of the text, in bytes.
	Length int
}

// Error implements error.
func (e *DigestError) Error() string {
	return "key digest of " + strconv.Itoa(e.Length) + " characters: want " + strconv.Itoa(2*DigestSize) + " of 0-9 and a-f"
}

// Error is one reason for which a list of customers is refused. It names the
// customer and the field, never a key.
type Error struct {
	// Place is that in the list, from 0; -1 where the problem is with the whole.
	Place int
	// Customer is the name in quotes, or the place from 1 where there is none.
	Customer string
	Field    string
	Want     string
}

// Error implements error.
func (e *Error) Error() string { return "customer " + e.Customer + ": " + e.Field + ": want " + e.Want }
