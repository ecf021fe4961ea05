// Package pipelining begins requests that a caller sends behind one another
// on a connection (HTTP/1.1 pipelining, RFC 9112, 9.3.2) before their turn.
//
// net/http serves a connection in turn: it reads a request only once the one
// before is answered. A caller that sends five searches of 0.3 s at once then
// waits 1.5 s for the last. A Conn stands between the socket and net/http,
// which goes on to read, frame and answer every request in order. The Conn
// only looks at the bytes on their way: a whole request without a body that
// stands behind the one being served is given to Begin, and when net/http comes
// to it its handler finds the answer under way, or ready.
//
// What is not plain is left for its turn: requests with a body, of HTTP/1.0,
// that ask for an upgrade or for the end of the connection, heads that are
// malformed or too long, and everything behind them. Reading ahead can thus be
// lost for a connection, never a request.
package pipelining
