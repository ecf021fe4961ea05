// Package retry decides which failed attempts may be made again, and bounds
// the number of retries.
//
// Five safeguards work together:
//
//   - Credit bounds the extra attempts of one request over its whole call
//     graph. It is split on the way downstream, and unused credit comes back
//     with the answer, so no fan-out can multiply it.
//   - Budget and Bucket bound the retries of one node to a share of its first
//     attempts.
//   - Decide allows retries only at the hop next to a failure, and only of
//     attempts that were proved not to have run or are idempotent.
//   - Ration gives the retries of a budget, when more are requested than it
//     covers, to the requests that need the fewest further calls.
//   - RepeatDetector recognizes the callers' own retries, so that they don't start
//     with new credit if the first request used its own.
//
// A node uses them in this order:
//
//	credit := retry.NewCredit(received.Credit) // 0 at a root if repeats.Seen is above 0
//	budget.OnFirst(now)
//	lent := credit.Lend()                  // sent with the downstream call
//	credit.Return(lent, report.CreditLeft) // not when the answer was lost
//	verdict := retry.Claim(decision, credit, account, now)
//	left := credit.Left()                  // sent with the answer
//	repeats.Forget(id, now)                // at a root, if the credit was not used
//	hint := retry.After(refused, random)   // for Retry-After, if it is a refusal
//
// The package does no I/O and starts no goroutine. Times and random numbers are
// passed in as values; only the choice of a counter shard, which affects no
// result, draws a random number itself. All methods of Credit, Budget, Bucket,
// Ration and RepeatDetector may be called concurrently; the *rand.Rand passed to After
// must not be used concurrently.
package retry
