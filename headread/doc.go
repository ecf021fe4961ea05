// Package headread reads the heads of HTTP/1.1 requests under limits before net/http parses
// them.
//
// net/http parses a head while it arrives and allocates for each of its lines, many times the
// bytes that were sent. Its only limit is one of bytes for each connection, so a few hundred
// clients can exhaust the memory of a process with heads that end late or never. A Conn sits
// between the socket and net/http. It withholds a head until all of it has arrived within the
// limits on its size and its time, and until the Budget, which all connections share, has room
// for what parsing and forwarding it will take. It does not change the bytes that it passes on.
//
// To find where a head begins, a Conn follows the framing of bodies, as net/http does. Where a
// message is malformed in a way that net/http refuses, it passes the bytes on, and net/http
// answers and closes the connection.
//
// A Listener accepts connections as Conns. When it has as many as it may, it closes one on which
// no request is in progress, so that clients that only hold connections don't shut out others.
package headread
