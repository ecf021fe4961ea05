package experiment

import (
	"cmp"
	"slices"

	"gonum.org/v1/gonum/stat"

	"pollengauge.dev/bench/experiment/compare"
	"pollengauge.dev/bench/experiment/play"
	"pollengauge.dev/bench/experiment/workload"
	"pollengauge.dev/node"
)

// Report is what an experiment showed.
type Report struct {
	Workload string          `json:"workload"`
	Variants []VariantReport `json:"variants"`
	Plays    []Play          `json:"plays"`
}

// VariantReport is one variant beside the first.
type VariantReport struct {
	Variant string `json:"variant"`
	Nodes   int    `json:"nodes"`
	// Ablated tells that the nodes went without some mechanism.
	Ablated bool     `json:"ablated"`
	Plays   int      `json:"plays"`
	Metrics []Metric `json:"metrics"`
}

// Metric is one measure of a variant.
type Metric struct {
	Name string `json:"name"`
	Unit string `json:"unit"`
	// Mean is nil if no play has the figure.
	Mean *float64 `json:"mean"`
	// Difference is from the first variant, over the seeds that both have. It
	// is nil for the first.
	Difference *compare.Difference `json:"difference,omitempty"`
}

// measure takes one figure from a play; ok is false if the play has none.
type measure struct {
	name, unit string
	of         func(p *Play) (value float64, ok bool)
}

const percent = 100

// measuresOf lists the measures of a workload whose variants have these kinds.
func measuresOf(kinds []string) []measure {
	always := func(of func(p *Play) float64) func(*Play) (float64, bool) {
		return func(p *Play) (float64, bool) { return of(p), true }
	}
	measures := []measure{
		{"bound of worth", "a second", always(func(p *Play) float64 { return p.Bound })},
		{"worth", "a second", always(func(p *Play) float64 { return p.Result.Worth })},
		{"worth", "% of bound", func(p *Play) (float64, bool) { return percent * p.Result.Worth / p.Bound, p.Bound > 0 }},
		{"tries", "an operation", always(func(p *Play) float64 { return p.Result.Tries })},
		{"ran twice", "operations", always(func(p *Play) float64 { return float64(p.Result.RanTwice) })},
	}
	for _, kind := range kinds {
		of := func(value func(k *play.KindResult) float64) func(*Play) (float64, bool) {
			return func(p *Play) (float64, bool) {
				kinds := p.Result.Kinds
				i := slices.IndexFunc(kinds, func(k play.KindResult) bool { return k.Kind == kind })
				if i < 0 || kinds[i].Began == 0 {
					return 0, false
				}
				return value(&kinds[i]), true
			}
		}
		measures = append(measures,
			measure{kind + " worth", "%", of(func(k *play.KindResult) float64 { return percent * k.Worth })},
			measure{kind + " answered", "%", of(func(k *play.KindResult) float64 { return percent * k.Answered })},
			measure{kind + " refused", "%", of(func(k *play.KindResult) float64 { return percent * k.Refused })},
			measure{kind + " lost", "%", of(func(k *play.KindResult) float64 { return percent * k.Lost })},
			measure{kind + " p99", "ms", of(func(k *play.KindResult) float64 { return float64(k.P99.Milliseconds()) })},
		)
	}
	return measures
}

func newReport(file *workload.File, plays []Play) (*Report, error) {
	plays = slices.Clone(plays)
	slices.SortFunc(plays, func(a, b Play) int {
		return cmp.Or(cmp.Compare(a.Seed, b.Seed), cmp.Compare(a.Variant, b.Variant))
	})
	report := &Report{Plays: plays}
	var measures []measure
	for i, name := range file.Variants() {
		w, err := file.Workload(name)
		if err != nil {
			return nil, err
		}
		if i == 0 {
			report.Workload = w.Name
			measures = measuresOf(kindNames(w))
		}
		v := VariantReport{Variant: name, Nodes: w.Nodes(), Ablated: w.Ablate != node.Ablation{}, Plays: len(report.of(name))}
		for _, m := range measures {
			v.Metrics = append(v.Metrics, report.metric(m, name, file.Variants()[0]))
		}
		report.Variants = append(report.Variants, v)
	}
	return report, nil
}

func kindNames(w *workload.Workload) []string {
	names := make([]string, len(w.Kinds))
	for i, k := range w.Kinds {
		names[i] = k.Name
	}
	return names
}

// of returns the plays of a variant by seed.
func (r *Report) of(variant string) []*Play {
	var plays []*Play
	for i := range r.Plays {
		if r.Plays[i].Variant == variant {
			plays = append(plays, &r.Plays[i])
		}
	}
	return plays
}

// metric sums up one measure of a variant and compares it with the first.
func (r *Report) metric(m measure, variant, first string) Metric {
	values := r.values(m, variant)
	out := Metric{Name: m.name, Unit: m.unit}
	if len(values) > 0 {
		all := make([]float64, 0, len(values))
		for _, p := range r.of(variant) {
			if value, ok := values[p.Seed]; ok {
				all = append(all, value)
			}
		}
		mean := stat.Mean(all, nil)
		out.Mean = &mean
	}
	if variant == first {
		return out
	}
	var base, changed []float64
	firsts := r.values(m, first)
	for _, p := range r.of(variant) {
		value, ok := values[p.Seed]
		paired, has := firsts[p.Seed]
		if ok && has {
			base = append(base, paired)
			changed = append(changed, value)
		}
	}
	difference := compare.Paired(base, changed)
	out.Difference = &difference
	return out
}

// values are those of a measure by seed.
func (r *Report) values(m measure, variant string) map[uint64]float64 {
	values := make(map[uint64]float64)
	for _, p := range r.of(variant) {
		if value, ok := m.of(p); ok {
			values[p.Seed] = value
		}
	}
	return values
}

// RanTwice counts the unrepeatable operations that ran twice in plays with all
// mechanisms. Without some of them that is what is to be shown.
func (r *Report) RanTwice() int {
	sum := 0
	for _, v := range r.Variants {
		if v.Ablated {
			continue
		}
		for _, p := range r.of(v.Variant) {
			sum += p.Result.RanTwice
		}
	}
	return sum
}
