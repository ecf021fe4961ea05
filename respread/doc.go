// Package respread lets an http.Transport accept only responses that are well-formed and whole.
//
// net/http accepts some responses that are not of HTTP/1.1, and passes on what it makes of them:
// a status such as 000 or 700, another version, a field name that contains a blank, under which a
// field that frames the body is overlooked. Check refuses them.
//
// A response without a length ends with its connection. When a server resets the connection
// instead, the socket reports that once. While a request is being written, the write may get the
// error, and the next read then finds the end of the stream, as behind a whole response. A Conn
// reports an end of the stream as such only if the request has been written to its end.
package respread
