package memnet

import "syscall"

// ConnError is the cause of a net.OpError of this network, or the reason why a
// connection broke.
type ConnError struct {
	// What is the text of the corresponding system error.
	What string
}

// connRefused is the error of a dial to an address without a listener.
const connRefused = "connection refused"

// Error implements error.
func (e *ConnError) Error() string { return e.What }

// Is makes errors.Is match the corresponding system errors.
func (e *ConnError) Is(target error) bool {
	return e.What == connRefused && target == syscall.ECONNREFUSED
}
