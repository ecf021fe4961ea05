package memnet

import "syscall"

// ConnError is the cause of a net.OpError of this network, or the break of a
// connection.
type ConnError struct {
	// What happened, in the words of the system's own error.
	What string
}

// refused is what a dial to an address gets at which nothing listens.
const refused = "connection refused"

// Error implements error.
func (e *ConnError) Error() string { return e.What }

// Is has the errors compare as those of the system do.
func (e *ConnError) Is(target error) bool {
	return e.What == refused && target == syscall.ECONNREFUSED
}
