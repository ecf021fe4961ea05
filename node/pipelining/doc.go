// Package pipelining starts pipelined requests of a connection (HTTP/1.1 pipelining,
// RFC 9112, 9.3.2) before the responses to earlier ones are finished.
//
// net/http serves the requests of a connection one after another: it reads a request
// only after it has answered the previous one. A caller that sends five searches of
// 0.3 s at once then waits 1.5 s for the last. A Conn sits between the socket and
// net/http, which still reads, frames and answers every request in order. The Conn
// only inspects the received bytes: it passes each complete request without a body
// that is queued behind the one being served to Begin. When net/http reaches that
// request, its handler finds the answer in progress or ready.
//
// Anything but a simple request waits for its turn: requests with a body, requests of
// HTTP/1.0, requests for an upgrade or for closing the connection, heads that are
// malformed or too long, and all requests queued behind one of these. A connection
// may thus lose the read-ahead, but never a request.
package pipelining
