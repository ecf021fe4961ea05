package observe

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// DefaultWidth is the default width of screens in characters.
const DefaultWidth = 120

// ExplainOptions configures Explain.
type ExplainOptions struct {
	// Width is the greatest length of a line (0: DefaultWidth).
	Width int
	// Unreachable names the nodes that could not be queried for their hops. The
	// screen warns that hops may be missing.
	Unreachable []string
	// Refusals are hops that refused other requests of the same profile. They
	// identify the downstream service that caused a refusal at the root; see
	// ShedBelow.
	Refusals []Hop
}

// Explain renders one screen on why a request was admitted, delayed or refused.
// The hops may come from several nodes and in any order.
func Explain(hops []Hop, options ExplainOptions) string {
	if options.Width <= 0 {
		options.Width = DefaultWidth
	}
	if len(hops) == 0 {
		return strings.Join(append([]string{"No hop of this request is held any more."}, unreachableNote(options)...), "\n") + "\n"
	}
	steps := chain(hops)
	lines := heading(steps)
	if versions := configVersions(steps); versions != "" {
		lines = append(lines, wrap(versions, "  ", options.Width)...)
	}
	lines = append(lines, "")
	lines = append(lines, renderTable(explainColumns, explainRows(steps), options.Width)...)
	lines = append(lines, "")
	for _, sentence := range explanation(steps, options.Refusals) {
		lines = append(lines, wrap(sentence, "  ", options.Width)...)
	}
	lines = append(lines, orphanNote(steps)...)
	lines = append(lines, unreachableNote(options)...)
	return strings.Join(lines, "\n") + "\n"
}

func heading(steps []step) []string {
	top := steps[0]
	first := "request " + printable(top.RequestID) + "  profile " + printable(top.Profile) + "  level " + top.Level.String()
	if top.Key != "" {
		first += "  key " + printable(top.Key)
	}
	second := "trace " + top.TraceID.String() + "  began " + top.At.UTC().Format(time.RFC3339Nano)
	return []string{first, second}
}

// configVersions lists the configuration versions under which the nodes decided
// if they differ, and returns "" if they agree. A node that a change can't reach,
// for example during an outage of the platform, decides under the last version
// that it received.
func configVersions(steps []step) string {
	nodes := make(map[uint64]string)
	for _, s := range steps {
		if _, known := nodes[s.ConfigVersion]; !known {
			nodes[s.ConfigVersion] = printable(s.Service) + " on node " + printable(s.Node)
		}
	}
	if len(nodes) < 2 {
		return ""
	}
	var parts []string
	for _, version := range slices.Sorted(maps.Keys(nodes)) {
		parts = append(parts, strconv.FormatUint(version, 10)+" at "+nodes[version])
	}
	return "Decided under different configurations: version " + strings.Join(parts, ", ") + "."
}

func orphanNote(steps []step) []string {
	for _, s := range steps {
		if s.orphan {
			return []string{"Hops marked ? have a parent that no node holds any more: the chain is not whole."}
		}
	}
	return nil
}

func unreachableNote(options ExplainOptions) []string {
	if len(options.Unreachable) == 0 {
		return nil
	}
	names := printable(strings.Join(options.Unreachable, ", "))
	return wrap("Not asked, because they could not be reached: "+names+". Hops may be missing.", "  ", options.Width)
}
