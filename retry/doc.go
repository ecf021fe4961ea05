// Package retry decides which failed attempts may be made again, and bounds
// how many there can be.
//
// Five safeguards work together. Credit bounds the extra attempts of one
// request over its whole call graph: it is split on the way down and what was
// not used comes back with the answer, so no fan-out can multiply it. Budget
// bounds the retries of one node to a share of its first attempts. Decide lets
// only the hop next to a failure retry, and only what was proved not to have
// run or is idempotent. Ration gives the retries of a budget, where more are
// wanted, to those that complete a request soonest. Repeats recognises the callers' own retries, so that
// they bring no fresh credit.
//
// A node uses them in this order:
//
//	credit := retry.NewCredit(received.Credit) // 0 at a root if repeats.Seen is above 0
//	budget.OnFirst(now)
//	lent := credit.Lend()                  // goes into the call below
//	credit.Return(lent, report.CreditLeft) // not when the answer was lost
//	verdict := retry.Claim(decision, credit, account, now)
//	left := credit.Left()                  // goes into the answer
//	hint := retry.After(refused, random)   // for Retry-After, if it is a refusal
//
// The package does no I/O, and starts no goroutine. Time and randomness come
// in as values; only the choice of a shard, which decides nothing, is random in
// itself. All methods of Credit, Budget, Ration and Repeats may be called
// concurrently; a *rand.Rand given to After belongs to the caller.
package retry
