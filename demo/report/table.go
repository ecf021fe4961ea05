package report

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"pollengauge.dev/call"
	"pollengauge.dev/demo/load"
)

const (
	columnPadding = 2
	tableHeader   = "class\tprofile\toffered\twhole\tstale\tnot-run\tunknown\tfailed\tclient retries\tduplicates\tpartly done\tp50 ms\tp99 ms\tretries mean\tmax\trecovery ms\t\n"
)

// storedText explains the column "stale".
const storedText = "stale: a stored answer that the same caller received before, sent with its age instead of a refusal; never counted as whole\n"

// Table writes the results of a run: a table for each part with one line per
// class, and a table of the rates before, during and after the surge, which
// lists the shares of fresh and stored answers separately.
func Table(w io.Writer, r *Run) error {
	for i, part := range r.Parts {
		if err := writePart(w, r, part, i == 0); err != nil {
			return err
		}
	}
	return writeRates(w, r)
}

func writePart(w io.Writer, r *Run, part Part, recovered bool) error {
	t := tabwriter.NewWriter(w, 0, 0, columnPadding, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintf(t, "%s, %.1f to %.1f s\n", part.Name, part.Span.Start.Seconds(), part.Span.End.Seconds())
	_, _ = fmt.Fprint(t, tableHeader)
	var total Audit
	for i, class := range r.Evidence.Classes {
		recovery := "-"
		if recovered {
			recovery = recoveryText(r.Recovery[i])
		}
		writeRow(t, class, part.Summaries[i], part.Audits[i], recovery)
		total = total.add(part.Audits[i])
	}
	if err := t.Flush(); err != nil {
		return &WriteError{What: "table", Err: err}
	}
	_, err := fmt.Fprintf(w, "%sservice time spent %.1f s, %.1f %% of it wasted; %d operations partly done\n%s\n",
		storedNote(part.Summaries), total.Worked.Seconds(), wastedPercent(total), total.PartlyDone, failureReasons(part.records))
	if err != nil {
		return &WriteError{What: "table", Err: err}
	}
	return nil
}

// storedNote returns the explanation of stored answers if the part has any,
// otherwise "".
func storedNote(summaries []load.Summary) string {
	for _, s := range summaries {
		if s.Results[load.Stale] > 0 {
			return storedText
		}
	}
	return ""
}

func writeRow(w io.Writer, class load.Class, s load.Summary, a Audit, recovery string) {
	_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%.3f\t%d\t%s\t\n",
		class.Name, class.Profile, s.Offered,
		s.Results[load.Whole], s.Results[load.Stale], s.Results[load.NotRun], s.Results[load.Unknown], s.Results[load.Failed],
		s.Retries, a.Duplicates, a.PartlyDone,
		milliseconds(s.P50), milliseconds(s.P99),
		a.MeanRetries(), a.MaxRetries, recovery)
}

// writeRates writes the table of writeRates before, during and after the surge.
func writeRates(w io.Writer, r *Run) error {
	t := r.Timeline
	spans := []load.Span{t.Before, t.Surge, t.after()}
	e := r.Evidence
	lines := []struct {
		what  string
		value func(load.Span) float64
	}{
		{"offered", r.offeredIn},
		{"whole", func(s load.Span) float64 { return r.goodputIn(s, load.AllClasses) }},
		{"whole, of the classes shed last", r.protectedGoodputIn},
		{"% whole, a fresh answer", func(s load.Span) float64 { return r.WholePercent(load.AllClasses, s) }},
		{"% stale, a stored answer", func(s load.Span) float64 { return r.stalePercent(load.AllClasses, s) }},
		{"% of " + e.Deep + " at work", func(s load.Span) float64 { return percent * e.DeepBusy(s) }},
	}
	table := tabwriter.NewWriter(w, 0, 0, columnPadding, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprint(table, "per second\tbefore the surge\tduring it\tafter it\t\n")
	for _, line := range lines {
		_, _ = fmt.Fprint(table, line.what)
		for _, span := range spans {
			_, _ = fmt.Fprintf(table, "\t%.0f", line.value(span))
		}
		_, _ = fmt.Fprint(table, "\t\n")
	}
	if err := table.Flush(); err != nil {
		return &WriteError{What: "totals", Err: err}
	}
	return nil
}

// reasonsShown is the maximum number of reasons listed.
const reasonsShown = 8

// failureReasons lists the failureReasons for which attempts got no complete answer, the most
// frequent first.
func failureReasons(records []load.Record) string {
	counts := map[string]int{}
	for _, r := range records {
		for _, t := range r.Tries {
			if t.Result < load.Failed {
				counts[failureReason(t)]++
			}
		}
	}
	names := slices.Collect(maps.Keys(counts))
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
	var text strings.Builder
	for _, name := range names[:min(len(names), reasonsShown)] {
		_, _ = fmt.Fprintf(&text, "%7d attempts %s\n", counts[name], name)
	}
	return text.String()
}

func failureReason(t load.Try) string {
	switch {
	case t.Reason != call.ReasonNone:
		return t.Result.String() + ": " + string(t.Reason) + " at " + t.Hop
	case t.Status != 0:
		return t.Result.String() + ": status " + strconv.Itoa(t.Status)
	default:
		return t.Result.String() + ": no answer"
	}
}

// after returns the span in which recovery is observed.
func (t Timeline) after() load.Span { return load.Span{Start: t.Surge.End, End: t.Settled} }

func (r *Run) offeredIn(span load.Span) float64 {
	return load.OfferedIn(r.Evidence.Records, load.AllClasses, span) / (span.End - span.Start).Seconds()
}

func wastedPercent(a Audit) float64 {
	if a.Worked == 0 {
		return 0
	}
	return percent * a.Wasted.Seconds() / a.Worked.Seconds()
}

// recoveryText returns the recovery time in milliseconds; a lower bound has the
// form ">3500".
func recoveryText(r load.RecoveryTime) string {
	text := strconv.FormatInt(r.Took.Milliseconds(), 10)
	if !r.Recovered {
		return ">" + text
	}
	return text
}

func milliseconds(d time.Duration) string {
	return strconv.FormatFloat(float64(d.Microseconds())/1000, 'f', 1, 64)
}

// PromiseList writes one line per promise and one per note.
func PromiseList(w io.Writer, r *Run) error {
	for _, p := range r.Promises {
		if _, err := fmt.Fprintf(w, "%-8s%s: %s\n", p.Verdict, p.Claim, p.Detail); err != nil {
			return &WriteError{What: "promises", Err: err}
		}
	}
	for _, note := range r.Notes {
		if _, err := fmt.Fprintf(w, "note    %s\n", note); err != nil {
			return &WriteError{What: "notes", Err: err}
		}
	}
	return nil
}
