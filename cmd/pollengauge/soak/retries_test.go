package soak

import (
	"slices"
	"time"
)

// retriesAreBounded checks that in each window a service gets no more retries than
// retryRatio of its first arrivals, plus retrySlack.
func (j *judgement) retriesAreBounded() {
	repeats := make(map[string][]time.Time)
	firsts := make(map[string][]time.Time)
	for _, runs := range j.runsOf {
		seen := make(map[int]bool)
		for _, x := range runs {
			// The first arrival of each sending comes from the customer itself
			// and is not a retry by a node.
			if sending := j.sendingOf(x); !seen[sending] {
				seen[sending] = true
				firsts[x.service] = append(firsts[x.service], x.at)
			} else {
				repeats[x.service] = append(repeats[x.service], x.at)
			}
		}
	}
	for service, at := range repeats {
		slices.SortFunc(at, time.Time.Compare)
		for i := range at {
			until := at[i].Add(j.retryWindow)
			most := j.retryRatio*float64(within(firsts[service], at[i], until)) + j.retrySlack
			if got := within(at, at[i], until); float64(got) > most {
				j.add("retries", "%s got %d retries in one window, at most %.0f allowed", service, got, most)
				break
			}
		}
	}
}

func within(at []time.Time, from, to time.Time) int {
	n := 0
	for _, t := range at {
		if !t.Before(from) && t.Before(to) {
			n++
		}
	}
	return n
}
