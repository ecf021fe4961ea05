package report

import (
	"time"

	"pollengauge.dev/demo/load"
)

// Mark is an event of a run that the plot shows.
type Mark struct {
	At    time.Duration
	Label string
}

// Timeline holds the times of a run's phases.
type Timeline struct {
	// Before is the span of normal service before the surge.
	Before load.Span
	Surge  load.Span
	// Settled is the end of the span in which recovery is observed.
	Settled time.Duration
	Length  time.Duration
}

// Run holds the measurements of one system under one load.
type Run struct {
	System     string
	Deployment string
	Timeline   Timeline
	Marks      []Mark
	Evidence   Evidence
	// Parts holds the part up to Timeline.Settled, which all systems run, and
	// the rest of the run if there is one.
	Parts    []Part
	Recovery []load.RecoveryTime
	Promises []Promise
	// Notes holds further findings, one line each.
	Notes []string
}

// Part holds the results of the operations with a planned start in a span.
type Part struct {
	Name      string
	Span      load.Span
	Summaries []load.Summary
	Audits    []Audit
	records   []load.Record
}

// Measure computes Parts and Recovery from the run's evidence.
func (r *Run) Measure() {
	t := r.Timeline
	r.Parts = []Part{r.part("surge and recovery", load.Span{End: t.Settled})}
	if t.Length > t.Settled {
		r.Parts = append(r.Parts, r.part("lost VMs and platform", load.Span{Start: t.Settled, End: t.Length}))
	}
	r.Recovery = make([]load.RecoveryTime, len(r.Evidence.Classes))
	for i := range r.Evidence.Classes {
		r.Recovery[i] = load.Recovery(r.Evidence.Records, i, t.Before, t.Surge.End, t.Settled)
	}
}

func (r *Run) part(name string, span load.Span) Part {
	part := Part{Name: name, Span: span}
	for _, record := range r.Evidence.Records {
		if record.At >= span.Start && record.At < span.End {
			part.records = append(part.records, record)
		}
	}
	part.Summaries = load.Summarize(r.Evidence.Classes, part.records)
	part.Audits = r.Evidence.audits(part.records)
	return part
}

// Total returns the sum of the audits of all classes and parts.
func (r *Run) Total() Audit {
	var total Audit
	for _, part := range r.Parts {
		for _, a := range part.Audits {
			total = total.add(a)
		}
	}
	return total
}

// Broken returns the number of broken promises.
func (r *Run) Broken() int {
	broken := 0
	for _, p := range r.Promises {
		if p.Verdict == Broken {
			broken++
		}
	}
	return broken
}

// goodputIn returns the goodput of the operations with a planned start in span,
// in completed operations per second, for one class or load.AllClasses.
func (r *Run) goodputIn(span load.Span, class int) float64 {
	return load.WholeIn(r.Evidence.Records, class, span) / (span.End - span.Start).Seconds()
}

// protectedGoodputIn returns the goodput in span of the classes that are shed last, in
// completed operations per second.
func (r *Run) protectedGoodputIn(span load.Span) float64 {
	sum := 0.0
	for i, class := range r.Evidence.Classes {
		if class.Shed == load.ShedLast {
			sum += r.goodputIn(span, i)
		}
	}
	return sum
}

// WholePercent returns the percentage of completed operations (load.Whole)
// among those with a planned start in span, for one class or load.AllClasses.
func (r *Run) WholePercent(class int, span load.Span) float64 {
	return r.percentOf(load.WholeIn(r.Evidence.Records, class, span), class, span)
}

// stalePercent returns the percentage of operations with a stored answer
// (load.Stale), counted as in WholePercent.
func (r *Run) stalePercent(class int, span load.Span) float64 {
	return r.percentOf(load.StaleIn(r.Evidence.Records, class, span), class, span)
}

func (r *Run) percentOf(count float64, class int, span load.Span) float64 {
	offered := load.OfferedIn(r.Evidence.Records, class, span)
	if offered == 0 {
		return 0
	}
	return percent * count / offered
}
