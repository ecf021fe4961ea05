package observe

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"pollengauge.dev/call"
)

// shedWindow is the time before and after a refusal at the root in which other
// refusals indicate its cause. The downstream levels that a root knows fade within
// seconds.
const shedWindow = 10 * time.Second

// ShedBelow reports whether the request was refused early because a downstream
// hop would have refused it, and returns the request's profile. The root's record
// has the downstream level but not the service that reported it. Refusals of other
// requests of the profile identify that service; callers of Explain pass them in
// ExplainOptions.Refusals.
func ShedBelow(hops []Hop) (profile string, ok bool) {
	steps := chain(hops)
	i := decidingStep(steps)
	if i < 0 || steps[i].Reason != call.ReasonLevelBelow {
		return "", false
	}
	return steps[i].Profile, true
}

// refusalSummary is the summary of the refusals of one service.
type refusalSummary struct {
	count   int
	nodes   map[string]bool
	highest call.Level
}

// sheddingServices returns a sentence with the services whose own admission control
// refused requests of the profile at about the time of s, with the number of
// refusals and nodes and the highest level of each.
func sheddingServices(s step, refusals []Hop) string {
	services := make(map[string]*refusalSummary)
	for _, h := range refusals {
		if !refusedByOwnGate(h) || h.At.Sub(s.At).Abs() > shedWindow {
			continue
		}
		found := services[h.Service]
		if found == nil {
			found = &refusalSummary{nodes: make(map[string]bool)}
			services[h.Service] = found
		}
		found.count++
		found.nodes[h.Node] = true
		found.highest = max(found.highest, h.AdmitLevel)
	}
	if len(services) == 0 {
		return "Which hop: no node that was asked still holds a refusal of this profile from that time; top shows which services shed now."
	}
	var parts []string
	for _, service := range slices.Sorted(maps.Keys(services)) {
		found := services[service]
		parts = append(parts, printable(service)+" ("+strconv.Itoa(found.count)+" on "+strconv.Itoa(len(found.nodes))+
			" nodes, level up to "+found.highest.String()+")")
	}
	return "Which hop: requests of this profile were refused in the seconds around it by " + strings.Join(parts, ", ") + "."
}

// refusedByOwnGate reports whether the hop's own admission control refused the call,
// as opposed to a refusal that was passed on.
func refusedByOwnGate(h Hop) bool {
	if h.Kind != Inbound || h.Decision != Refused {
		return false
	}
	switch h.Reason {
	case call.ReasonLevel, call.ReasonQueueFull, call.ReasonQueueWait, call.ReasonUpstreamLimit, call.ReasonDeadline:
		return true
	}
	return false
}
