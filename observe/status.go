package observe

import (
	"time"

	"pollengauge.dev/call"
)

// NodeStatus is a snapshot of one node, as its admin API returns it.
type NodeStatus struct {
	Node          string `json:"node"`
	Service       string `json:"service"`
	Zone          string `json:"zone"`
	Region        string `json:"region"`
	ConfigVersion uint64 `json:"configVersion"`
	// At is the time of the snapshot by the node's clock. Rates are computed
	// from two snapshots of one node, so the clocks of nodes need not agree.
	At         time.Time  `json:"at"`
	Limit      int        `json:"limit"`
	InFlight   int        `json:"inFlight"`
	Blocked    int        `json:"blocked"`
	Queue      int        `json:"queue"`
	AdmitLevel call.Level `json:"admitLevel"`
	// Load is the calls in flight and waiting, in thousandths of the limit.
	Load     int  `json:"load"`
	Draining bool `json:"draining"`
	// NoUpstream is true until an upstream has announced itself.
	NoUpstream bool            `json:"noUpstream,omitempty"`
	Profiles   []ProfileStatus `json:"profiles"`
	Members    MemberCounts    `json:"members"`
	Keys       KeyCounts       `json:"keys"`
	// CPU and ResidentBytes are the process's own use.
	CPU           time.Duration `json:"cpuNs"`
	ResidentBytes int64         `json:"residentBytes"`
	// Targets lists the upstreams that the node calls and that report their load.
	Targets []TargetStatus `json:"targets,omitempty"`
}

// TargetStatus is the latest load report of one upstream, as the calling node has it.
type TargetStatus struct {
	Service string `json:"service"`
	Node    string `json:"node"`
	Zone    string `json:"zone"`
	// Running and Waiting count the requests at the upstream and at its node.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"`
	// Work is how long work takes, in thousandths of the usual time.
	Work  int `json:"work"`
	AgeMs int `json:"ageMs"`
	// Belief is believed, old or contradicted; only a believed report is used.
	Belief string `json:"belief"`
}

// State returns one word on whether the node accepts work: draining, idle (no
// upstream has announced itself), shedding, queueing or normal.
func (n *NodeStatus) State() string {
	switch {
	case n.Draining:
		return "draining"
	case n.NoUpstream:
		return "idle"
	case n.AdmitLevel > 0:
		return "shedding"
	case n.Queue > 0:
		return "queueing"
	}
	return "normal"
}

// ProfileStatus holds the counts of one profile since the process started, and
// percentiles of its recent call times.
type ProfileStatus struct {
	Name     string        `json:"name"`
	Offered  int64         `json:"offered"`
	Complete int64         `json:"complete"`
	NotRun   int64         `json:"notRun"`
	Unknown  int64         `json:"unknown"`
	Stale    int64         `json:"stale"`
	Retries  int64         `json:"retries"`
	P50      time.Duration `json:"p50Ns"`
	P99      time.Duration `json:"p99Ns"`
	// LevelBelow is the highest admission level known of downstream hops.
	LevelBelow call.Level `json:"levelBelow"`
}

// MemberCounts counts the nodes that a node knows.
type MemberCounts struct {
	Alive   int `json:"alive"`
	Suspect int `json:"suspect"`
	Dead    int `json:"dead"`
	Left    int `json:"left"`
}

// Known returns the number of known nodes that have not left, alive or not.
func (m MemberCounts) Known() int { return m.Alive + m.Suspect + m.Dead }

// KeyCounts counts the idempotency keys that a node holds.
type KeyCounts struct {
	Running int `json:"running"`
	Done    int `json:"done"`
	Unknown int `json:"unknown"`
	// Capacity is the size of the table.
	Capacity int `json:"capacity"`
}

// Status returns the entry of the profile in a NodeStatus. Offered is the sum
// of the counts of all outcomes.
func (p *ProfileMetrics) Status() ProfileStatus {
	c := p.Counts()
	return ProfileStatus{
		Name:       p.name,
		Offered:    c.Complete + c.NotRun + c.Unknown,
		Complete:   c.Complete,
		NotRun:     c.NotRun,
		Unknown:    c.Unknown,
		Stale:      c.Stale,
		Retries:    c.Spent,
		P50:        c.P50,
		P99:        c.P99,
		LevelBelow: call.Level(p.LevelBelow.Value()),
	}
}
