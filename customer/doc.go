// Package customer identifies customers by the API keys that their callers send.
//
// A Customer has a name, keys, a priority and a limit on its requests. A Directory
// finds the customer of a key in constant time. The package stores only the Digest of a
// key, never the key itself: a configuration is sent to every node, and anything that
// forwards, stores or logs a part of it must not learn a secret that grants access. A
// Digest is not accepted in place of its key.
package customer
