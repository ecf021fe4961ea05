// Package node is the process that runs beside one upstream VM and carries every call
// into and out of it.
//
// A node has five listeners, each for a different audience:
//
//   - edge: callers from outside. Their requests are untrusted; the node
//     strips every pollengauge header, chooses the profile and becomes the
//     root of the request.
//   - peer: other nodes. It trusts the context headers, so only nodes may
//     reach it.
//   - outbound: the upstream on the same VM, for its calls to other services.
//   - gossip: the membership exchange of other nodes (net/rpc).
//   - admin: the operator and the upstream's announcements.
//
// Node is the running process, Settings configures it, and a Dialect translates for
// callers and upstreams that don't use this project's own interface. The decisions are
// made in separate modules (admission, retry, routing, atmostonce, config,
// membership); this package connects them to HTTP. Every method of Node may be called
// concurrently once Start has returned.
package node
