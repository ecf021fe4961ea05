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

const (
	// MaxShare is the highest share that ShareTiebreak distinguishes. It bounds how much
	// less often a customer is admitted than one at its whole share.
	MaxShare = 8
	// excessBand is the part of the tie-breaks in which the requests beyond a share are
	// placed. It has eight tie-breaks: if all of them had the lowest one, a level could
	// refuse either none or all, and pressure would swing between the two.
	excessBand = 1.0 / 16
)

// ShareTiebreak returns the tie-break of a request from the part of its share that its
// customer uses, which may exceed 1. draw is a random number from 0 to 1, exclusive. Up
// to a share of 1 the result is that of FairTiebreak.
//
// Load pattern: customers use more than their share of an overloaded upstream, because
// their requests take more of it than those of others. A level that admits the requests
// placed above 1-x admits of every customer's requests what amounts to x of its share.
// The requests beyond the share are placed in the lowest tie-breaks, those of the
// largest excess last, so that they are refused first and admitted when there is room.
func ShareTiebreak(share, draw float64) call.Tiebreak {
	if !(share > 1) {
		return FairTiebreak(share, draw)
	}
	used := min(share, MaxShare) * draw
	position := 1 - used
	if used > 1-excessBand {
		position = excessBand * (MaxShare - used) / (MaxShare - 1 + excessBand)
	}
	return call.Tiebreak(position * float64(call.MaxTiebreak))
}
