package play

import (
	"slices"
	"time"

	"pollengauge.dev/bench/experiment/workload"
)

// Result is what one play showed. Operations that began in the warm part are
// not counted, except in Ranks.
type Result struct {
	// Worth is what callers got a second, Offered what they asked for.
	Worth   float64 `json:"worth"`
	Offered float64 `json:"offered"`
	// RanTwice counts unrepeatable operations that ran more than once.
	RanTwice int `json:"ranTwice"`
	// Tries is the tries for each operation.
	Tries    float64         `json:"tries"`
	Kinds    []KindResult    `json:"kinds"`
	Services []ServiceResult `json:"services"`
	Ranks    []RankSeries    `json:"ranks"`
}

// KindResult is what became of the operations of one kind. All shares are of
// those that began.
type KindResult struct {
	Kind  string `json:"kind"`
	Rank  int    `json:"rank"`
	Began int    `json:"began"`
	// Worth is a share of the highest.
	Worth float64 `json:"worth"`
	// Answered in whatever time, and OnTime within the objective.
	Answered float64 `json:"answered"`
	OnTime   float64 `json:"onTime"`
	Refused  float64 `json:"refused"`
	Lost     float64 `json:"lost"`
	// Median and P99 are of the answered ones.
	Median time.Duration `json:"medianNs"`
	P99    time.Duration `json:"p99Ns"`
}

// ServiceResult is how much of its slots a service held.
type ServiceResult struct {
	Service string  `json:"service"`
	Busy    float64 `json:"busy"`
}

// RankSeries is the worth that was served in each second, by when it was.
type RankSeries struct {
	Rank      int       `json:"rank"`
	PerSecond []float64 `json:"perSecond"`
}

// resultOf judges a whole play.
func resultOf(w *workload.Workload, operations []operation, m *meter) Result {
	r := Result{RanTwice: m.twice(), Ranks: ranksOf(w, operations)}
	seconds := (w.Length - w.Warm).Seconds()
	tries, began := 0, 0
	for i := range w.Kinds {
		k := &w.Kinds[i]
		result, worth := kindResult(k, counted(operations, i, w.Warm))
		r.Kinds = append(r.Kinds, result)
		r.Worth += worth / seconds
		r.Offered += float64(result.Began) * k.Worth / seconds
	}
	for _, o := range operations {
		if o.at >= w.Warm {
			tries += o.tries
			began++
		}
	}
	r.Tries = share(float64(tries), began)
	for _, s := range w.Services {
		held := m.heldBy(s.Name).Seconds() / seconds
		r.Services = append(r.Services, ServiceResult{Service: s.Name, Busy: held / float64(s.Slots*s.Replicas)})
	}
	return r
}

func counted(operations []operation, kind int, from time.Duration) []operation {
	var kept []operation
	for _, o := range operations {
		if o.kind == kind && o.at >= from {
			kept = append(kept, o)
		}
	}
	return kept
}

// kindResult also returns the worth of all.
func kindResult(k *workload.Kind, operations []operation) (KindResult, float64) {
	r := KindResult{Kind: k.Name, Rank: k.Rank, Began: len(operations)}
	var took []time.Duration
	worth, onTime, turnedAway := 0.0, 0, 0
	for _, o := range operations {
		switch o.outcome {
		case refused:
			turnedAway++
		case answered:
			took = append(took, o.took)
			worth += k.WorthAfter(o.took)
			if o.took <= k.Objective {
				onTime++
			}
		}
	}
	slices.Sort(took)
	r.Worth = share(worth, len(operations))
	if k.Worth > 0 {
		r.Worth /= k.Worth
	}
	r.Answered = share(float64(len(took)), len(operations))
	r.OnTime = share(float64(onTime), len(operations))
	r.Refused = share(float64(turnedAway), len(operations))
	r.Lost = share(float64(len(operations)-turnedAway-len(took)), len(operations))
	r.Median = quantile(took, 0.5)
	r.P99 = quantile(took, 0.99)
	return r, worth
}

// share is 0 of nothing.
func share(part float64, of int) float64 {
	if of == 0 {
		return 0
	}
	return part / float64(of)
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	const half = 0.5
	return sorted[int(q*float64(len(sorted)-1)+half)]
}

// ranksOf adds the worth up by rank and second. What is served after the end of
// the load is left out.
func ranksOf(w *workload.Workload, operations []operation) []RankSeries {
	seconds := int((w.Length + time.Second - 1) / time.Second)
	byRank := make(map[int][]float64)
	for _, k := range w.Kinds {
		byRank[k.Rank] = make([]float64, seconds)
	}
	for _, o := range operations {
		k := &w.Kinds[o.kind]
		if second := int((o.at + o.took) / time.Second); o.outcome == answered && second < seconds {
			byRank[k.Rank][second] += k.WorthAfter(o.took)
		}
	}
	var series []RankSeries
	for rank, perSecond := range byRank {
		series = append(series, RankSeries{Rank: rank, PerSecond: perSecond})
	}
	slices.SortFunc(series, func(a, b RankSeries) int { return a.Rank - b.Rank })
	return series
}
