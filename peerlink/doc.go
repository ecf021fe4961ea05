// Package peerlink carries calls between nodes as frames on a few shared connections.
//
// A Client sends calls and a Server serves them. The handler of a call on the serving side
// runs in a pool of goroutines; the calling side uses no goroutine and no timer for a call.
// A connection starts as an HTTP/1.1 request that is upgraded (see Client.Do and Server.Serve),
// so it shares the listener, and the TLS, of other messages between nodes.
//
// What a failed call proves is part of the interface: after an *UnsentError no handler has
// seen or will see the call. After any other error its fate is unknown.
package peerlink
