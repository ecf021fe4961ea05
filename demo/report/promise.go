package report

import (
	"math"
	"strconv"

	"pollengauge.dev/demo/load"
)

// Verdict is the result of one check.
type Verdict string

const (
	// Pass: the check ran and the promise held.
	Pass Verdict = "PASS"
	// Broken: the check ran and found a violation of the promise.
	Broken Verdict = "BROKEN"
	// Skipped: the run had nothing to which the check applies.
	Skipped Verdict = "SKIPPED"
)

// Promise is a property that must always hold, with the result of its check.
type Promise struct {
	Claim   string
	Verdict Verdict
	Detail  string
}

// NewPromise returns a promise with the verdict Pass if held is true, otherwise
// Broken.
func NewPromise(claim string, held bool, detail string) Promise {
	verdict := Broken
	if held {
		verdict = Pass
	}
	return Promise{Claim: claim, Verdict: verdict, Detail: detail}
}

// Credits holds, by profile, the number of retries that a request has over its
// whole call chain. Nil means that the system sets no limit.
type Credits map[string]int

// Check returns the promises that can be checked with a run's answers and
// ledger.
func Check(r *Run, credits Credits) []Promise {
	total := r.Total()
	crossed, truncated := 0, 0
	for _, part := range r.Parts {
		for _, s := range part.Summaries {
			crossed += s.Crossed
			truncated += s.Truncated
		}
	}
	return []Promise{
		retryPromise(r, credits),
		shedPromise(r),
		countPromise("every answer is the caller's own", crossed, "crossed answers"),
		countPromise("every complete answer is whole", truncated, "truncated answers"),
		countPromise("complete means that every hop finished", total.Hollow, "hollow answers"),
		countPromise("not-run means that nothing ran", total.FalseNotRun, "false not-run answers"),
		countPromise("not-run holds for the key, not only the attempt", total.FalseNotRunKey, "false not-run answers for a key that ran"),
		countPromise("unrepeatable work runs at most once", total.Duplicates, "duplicate runs"),
	}
}

func countPromise(claim string, count int, what string) Promise {
	return NewPromise(claim, count == 0, strconv.Itoa(count)+" "+what)
}

// retryPromise checks that no request used more retries than its credit. The
// detail names the class that came closest to its credit or exceeded it most.
func retryPromise(r *Run, credits Credits) Promise {
	claim := "retries are bounded across the whole chain"
	maxExcess, class, most := math.MinInt, "", 0
	for _, part := range r.Parts {
		for i, a := range part.Audits {
			c := r.Evidence.Classes[i]
			if excess := a.MaxRetries - credits[c.Profile]; excess > maxExcess {
				maxExcess, class, most = excess, c.Name, a.MaxRetries
			}
		}
	}
	detail := class + ": at most " + strconv.Itoa(most) + " extra attempts in one request's chain"
	if credits == nil {
		return NewPromise(claim, false, detail+", no bound set")
	}
	return NewPromise(claim, maxExcess <= 0, detail+", credit "+strconv.Itoa(most-maxExcess))
}

// shedTolerance is the difference by which the lost share of a ShedLast class
// may exceed that of a ShedFirst class before the order counts as broken. A
// class has some tens of operations in a surge, so a single operation changes
// its share by about this much.
const shedTolerance = 0.02

// shedPromise checks that among the operations offered in the surge, no
// ShedLast class has a larger share of operations without a complete answer
// than a ShedFirst class.
func shedPromise(r *Run) Promise {
	claim := "important work is shed last"
	first, last := lostShares(r)
	if first.class == "" || last.class == "" {
		return Promise{Claim: claim, Verdict: Skipped, Detail: "no such classes"}
	}
	detail := last.String() + " against " + first.String() + " not completed in the surge"
	return NewPromise(claim, last.share <= first.share+shedTolerance, detail)
}

type lostShare struct {
	class string
	share float64
}

// String returns "class 12.3 %".
func (l lostShare) String() string {
	return l.class + " " + strconv.FormatFloat(percent*l.share, 'f', 1, 64) + " %"
}

const percent = 100

// lostShares returns the ShedFirst class with the smallest lost share and the
// ShedLast class with the largest one.
func lostShares(r *Run) (first, last lostShare) {
	for i, class := range r.Evidence.Classes {
		offered := load.OfferedIn(r.Evidence.Records, i, r.Timeline.Surge)
		if offered == 0 {
			continue
		}
		share := 1 - load.WholeIn(r.Evidence.Records, i, r.Timeline.Surge)/offered
		switch {
		case class.Shed == load.ShedFirst && (first.class == "" || share < first.share):
			first = lostShare{class.Name, share}
		case class.Shed == load.ShedLast && (last.class == "" || share > last.share):
			last = lostShare{class.Name, share}
		}
	}
	return first, last
}
