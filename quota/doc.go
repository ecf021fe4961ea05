// Package quota enforces customers' rate limits over a whole fleet of nodes without a
// central coordinator.
//
// Each customer has one owner: a member of the fleet that Owners selects by rendezvous
// hashing. The owner has a token bucket for the customer in its Ledger and leases
// tokens to the nodes where the customer's requests enter. Each node caches its leased
// tokens in its TokenCache, where an unused token expires after a short time to live. The
// number of requests forwarded in a window is therefore at most the number of tokens
// leased in that window or within one time to live before it.
//
// The package is built for customers whose requests enter through many nodes at once,
// move to other nodes a moment later, and arrive at many times the customer's limit.
//
// The total stays below the limit while parts of the fleet fail:
//
//   - An owner leases only a share of the limit: the number of members it sees, divided
//     by the size of the fleet when it was last seen complete (Fleet). In a network
//     partition, all sides together lease one limit.
//   - A new bucket holds only Tolerance.Start tokens. A restart of one owner, or of all
//     of them, leases no token a second time.
//   - While an owner does not respond and is not known to be gone, its deputy leases
//     tokens from the tolerance alone.
//
// The package does no I/O: the time, random numbers and the membership are passed in as
// arguments.
package quota
