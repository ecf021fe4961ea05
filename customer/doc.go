// Package customer knows customers by the API keys that their callers send.
//
// A Customer has a name, keys, a priority and a limit on its requests. A Directory
// finds the holder of a key in constant time. It never holds a key itself, only its
// Digest: a configuration goes to every node, and what passes it on, stores it or
// logs a part of it must not learn a secret that opens a door. A Digest can't be
// sent in place of its key.
package customer
