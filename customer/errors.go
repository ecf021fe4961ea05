package customer

import "strconv"

// DigestError reports a text that is not a Digest. It doesn't show the text, which may
// be a key that was entered in place of a digest.
type DigestError struct {
	// Length is the length of the text in bytes.
	Length int
}

// Error implements error.
func (e *DigestError) Error() string {
	return "key digest of " + strconv.Itoa(e.Length) + " characters: want " + strconv.Itoa(2*DigestSize) + " of 0-9 and a-f"
}

// Error is one problem for which a list of customers is refused. It names the customer
// and the field, but never a key.
type Error struct {
	// Place is the customer's index in the list, from 0; -1 if the problem concerns the
	// complete list.
	Place int
	// Customer is the quoted name, or the position counted from 1 if the name is not
	// valid.
	Customer string
	Field    string
	Want     string
}

// Error implements error.
func (e *Error) Error() string { return "customer " + e.Customer + ": " + e.Field + ": want " + e.Want }
