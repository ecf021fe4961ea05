package experiment

import (
	"fmt"
	"strings"
	"text/tabwriter"

	"pollengauge.dev/bench/experiment/compare"
)

// String is the report as a table for people: the means of the first variant,
// then how much each other one is above it.
func (r *Report) String() string {
	var b strings.Builder
	first := r.Variants[0]
	fmt.Fprintf(&b, "%s, %d nodes; differences from %q with 95 %% intervals, * where zero is outside\n\n", r.Workload, first.Nodes, first.Variant)
	const gap = 2
	table := tabwriter.NewWriter(&b, 0, 0, gap, ' ', 0)
	row := func(cells []string) { _, _ = fmt.Fprintln(table, strings.Join(cells, "\t")) }
	head, counts := []string{"", ""}, []string{"plays", ""}
	for _, v := range r.Variants {
		head = append(head, v.Variant)
		counts = append(counts, fmt.Sprint(v.Plays))
	}
	row(head)
	row(counts)
	for i, m := range first.Metrics {
		cells := []string{m.Name, m.Unit, meanOf(m)}
		for _, v := range r.Variants[1:] {
			cells = append(cells, cellOf(v.Metrics[i].Difference))
		}
		row(cells)
	}
	_ = table.Flush()
	return b.String()
}

func meanOf(m Metric) string {
	if m.Mean == nil {
		return "-"
	}
	return fmt.Sprintf("%.2f", *m.Mean)
}

// cellOf shows one difference.
func cellOf(d *compare.Difference) string {
	switch {
	case d.Pairs == 0:
		return "-"
	case d.Low == nil:
		return fmt.Sprintf("%+.2f [one pair]", d.Mean)
	}
	mark := ""
	if d.Certain() {
		mark = " *"
	}
	return fmt.Sprintf("%+.2f [%+.2f, %+.2f]%s", d.Mean, *d.Low, *d.High, mark)
}
