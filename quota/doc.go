// Package quota holds the requests of a customer below its limit over a whole fleet,
// without a coordinator.
//
// One member counts for each customer: its home, chosen from the membership by Homes.
// The home has a token bucket for the customer in its Ledger and lends tokens to the
// nodes where the customer's requests enter. A node keeps them in its Purse, where a
// token that is not used is worth nothing after a short life. So all that is sent on in
// a window was lent in it, or within a token's life before.
//
// The load that it answers: a customer's requests come through many nodes at once, and
// through other nodes a moment later; it sends many times what it may.
//
// What keeps the sum below the limit when the fleet is not whole:
//
//   - A home lends only the part of the limit that its side of the fleet is of the
//     fleet as it was last seen whole (Fleet). In a cut, the sides together have one
//     limit.
//   - A new bucket is empty but for Tolerance.Start tokens. After a restart, of one
//     home or of all, nothing is lent a second time.
//   - While a home doesn't answer and is not known to be gone, its deputy lends from
//     the tolerance alone.
//
// Everything here is pure: time, chance and the membership are arguments.
package quota
