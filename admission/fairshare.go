package admission

import "pollengauge.dev/call"

// FairTiebreak returns the tie-break of a request from the share of its limit
// that its customer uses, above 0 and up to 1. draw is a random number from 0
// to 1, exclusive.
//
// Load pattern: one customer sends many times its usual load, but within its
// limit, while an upstream is overloaded. With uniform tie-breaks, the requests
// of all customers are refused alike, and that customer takes the share of the
// others. With FairTiebreak, a level that admits the requests placed above 1-x
// admits all requests of a customer that uses up to x of its limit, and of a
// customer that uses more, as many as x allows. Every customer gets the same
// part of its limit, which is max-min fairness weighted by the limits. The only
// state needed is the use.
func FairTiebreak(use, draw float64) call.Tiebreak {
	if !(use > 0 && use <= 1) {
		use = 1
	}
	return call.Tiebreak((1 - use*draw) * float64(call.MaxTiebreak))
}
