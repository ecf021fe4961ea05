package control

import (
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"pollengauge.dev/objects"
)

// PhaseResult is one phase at one size.
type PhaseResult struct {
	Phase Phase `json:"phase"`
	// Took is the time until the last node knew; Reached is false if the
	// phase ran into its limit first.
	Took    time.Duration `json:"took_ns"`
	Reached bool          `json:"reached"`
	Usage   Usage         `json:"usage"`
}

// SizeResult is one fleet.
type SizeResult struct {
	Members int `json:"members"`
	// Runs is how many runs this is the median of, 0 for a single run.
	Runs   int           `json:"runs,omitempty"`
	Phases []PhaseResult `json:"phases"`
	// Resident and HeapInUse are bytes of the whole process, Goroutines and
	// Connections (between nodes) its counts, after the steady window.
	Resident    int64 `json:"resident_bytes"`
	HeapInUse   int64 `json:"heap_in_use_bytes"`
	Goroutines  int   `json:"goroutines"`
	Connections int   `json:"connections"`
	OpenFiles   int   `json:"open_files"`
	// LoadBefore and LoadAfter are the machine's load averages over a minute.
	LoadBefore float64 `json:"load_before"`
	LoadAfter  float64 `json:"load_after"`
}

// weighed tells whether the run got as far as its steady window.
func (s SizeResult) weighed() bool { return s.Resident > 0 }

// phase returns the result of a phase, if it was run.
func (s SizeResult) phase(name Phase) (PhaseResult, bool) {
	for _, p := range s.Phases {
		if p.Phase == name {
			return p, true
		}
	}
	return PhaseResult{}, false
}

// Result is one run.
type Result struct {
	CPUs      int          `json:"cpus"`
	GoVersion string       `json:"go"`
	Sizes     []SizeResult `json:"sizes"`
	Fits      []Fit        `json:"fits"`
}

// Unreached counts the phases that did not come to their end.
func (r Result) Unreached() int {
	count := 0
	for _, s := range r.Sizes {
		for _, p := range s.Phases {
			if !p.Reached {
				count++
			}
		}
	}
	return count
}

// String renders the result as tables.
func (r Result) String() string {
	var out strings.Builder
	fmt.Fprintf(&out, "%d CPUs, %s. Figures are of one node unless said otherwise; B/s with estimated headers.\n", r.CPUs, r.GoVersion)
	for _, s := range r.Sizes {
		s.write(&out)
	}
	if medians := Medians(r.Sizes); len(medians) < len(r.Sizes) {
		fmt.Fprintln(&out, "\nMedians of the runs of each size")
		for _, s := range medians {
			s.write(&out)
		}
	}
	writeFits(&out, r.Fits)
	return out.String()
}

func (s SizeResult) write(out *strings.Builder) {
	each := func(total int) float64 { return float64(total) / float64(s.Members) }
	fmt.Fprintf(out, "\n%d members: process %.0f MB resident, %.0f MB heap; a node %.2f MB resident, %.1f goroutines, %.1f connections dialled, %.1f open files; load %.1f to %.1f\n",
		s.Members, float64(s.Resident)/megabyte, float64(s.HeapInUse)/megabyte,
		float64(s.Resident)/megabyte/float64(s.Members), each(s.Goroutines), each(s.Connections), each(s.OpenFiles), s.LoadBefore, s.LoadAfter)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "phase\ttook\tover\tCPU %\tpeak\tgossip B/s\tpeak\tbusiest\tmessages/s\tdials/s\tplatform B/s\treads\twrites\trefused\t")
	for _, p := range s.Phases {
		p.write(table)
	}
	_ = table.Flush() // a strings.Builder never fails
	for _, p := range s.Phases {
		fmt.Fprintf(out, "%s platform calls of the fleet: %s\n", p.Phase, callList(p.Usage.Calls))
	}
}

func (p PhaseResult) write(table *tabwriter.Writer) {
	took := p.Took.Round(10 * time.Millisecond).String()
	if !p.Reached {
		took = "not in " + took
	}
	u := p.Usage
	reads, writes := callsOf(u.Calls)
	fmt.Fprintf(table, "%s\t%s\t%.1fs\t%.3f\t%.3f\t%.0f\t%.0f\t%.0f\t%.2f\t%.3f\t%.1f\t%d\t%d\t%d\t\n",
		p.Phase, took, u.Seconds, u.CPU, u.PeakCPU, u.Gossip, u.PeakGossip, u.Busiest,
		u.Messages, u.Dials, u.Platform, reads, writes, u.Refused)
}

func callList(calls map[objects.Op]uint64) string {
	var parts []string
	for _, op := range []objects.Op{objects.OpGet, objects.OpList, objects.OpWatch, objects.OpCreate, objects.OpUpdate, objects.OpDelete} {
		if calls[op] > 0 {
			parts = append(parts, fmt.Sprintf("%s %d", op, calls[op]))
		}
	}
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, ", ")
}

func writeFits(out *strings.Builder, fits []Fit) {
	if len(fits) == 0 {
		return
	}
	fmt.Fprintln(out, "\nLeast squares over the sizes")
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "figure\tunit\tbase\tslope a member\tR2\tat %d\tat %d (extrapolated)\n", DesignSize, 2*DesignSize)
	for _, f := range fits {
		fmt.Fprintf(table, "%s\t%s\t%.4g\t%.4g\t%.3f\t%.4g\t%.4g\n", f.Figure, f.Unit, f.Base, f.Slope, f.R2, f.Design, f.Doubled)
	}
	_ = table.Flush()
}
