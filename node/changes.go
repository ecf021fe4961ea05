package node

import (
	"sync"

	"pollengauge.dev/call"
	"pollengauge.dev/membership"
	"pollengauge.dev/observe"
)

// memberChanges logs what has changed in the membership since the previous look.
type memberChanges struct {
	log  *observe.Logger
	self string

	mu     sync.Mutex
	states map[string]membership.State
	zones  map[string]zoneState
}

// zoneState is the last known state of one availability zone. alive counts its living
// members. partitioned is set while the zone appears to be separated by a network
// partition.
type zoneState struct {
	alive       int
	partitioned bool
}

func newMemberChanges(log *observe.Logger, self string) *memberChanges {
	return &memberChanges{
		log:    log,
		self:   self,
		states: make(map[string]membership.State),
		zones:  make(map[string]zoneState),
	}
}

// look compares the members with those of the previous look and logs the differences.
func (c *memberChanges) look(gossip *membership.Gossip) {
	c.mu.Lock()
	defer c.mu.Unlock()
	alive := make(map[string]int)
	present := make(map[string]bool)
	for _, m := range gossip.Members() {
		present[m.ID] = true
		if m.ID == c.self {
			continue
		}
		if m.State == membership.Alive {
			alive[m.Zone]++
		}
		c.reportMember(m, m.State)
	}
	for id, before := range c.states {
		if present[id] {
			continue
		}
		m, state, known := gossip.Lookup(id)
		if !known {
			delete(c.states, id)
			continue
		}
		if state != before {
			c.reportMember(m, state)
		}
	}
	c.compareZones(alive)
}

func (c *memberChanges) reportMember(m membership.Member, state membership.State) {
	before, known := c.states[m.ID]
	if known && before == state {
		return
	}
	c.states[m.ID] = state
	fields := []observe.Field{
		observe.Str("member", m.ID[:min(idPrefix, len(m.ID))]),
		observe.Str("of", m.Service),
		observe.Str("zone", m.Zone),
		observe.Str("addr", m.Addr),
	}
	switch {
	case state == membership.Alive && !known:
		c.log.Emit(observe.MemberJoined, fields...)
	case state == membership.Alive:
		c.log.Emit(observe.MemberAlive, fields...)
	case state == membership.Suspect:
		c.log.Emit(observe.MemberSuspect, fields...)
	case state == membership.Dead:
		c.log.Emit(observe.MemberDead, fields...)
	case state == membership.Left:
		c.log.Emit(observe.MemberLeft, fields...)
	}
}

// partitionMinMembers is the minimum number of members whose simultaneous loss, if the
// zone has no others, is reported as a network partition and not as separate failures.
const partitionMinMembers = 2

func (c *memberChanges) compareZones(alive map[string]int) {
	for zone, seen := range c.zones {
		if alive[zone] == 0 && seen.alive >= partitionMinMembers {
			c.log.Emit(observe.RegionCut, observe.Str("zone", zone), observe.Int("members", seen.alive))
			c.zones[zone] = zoneState{partitioned: true}
		}
	}
	for zone, count := range alive {
		seen := c.zones[zone]
		if seen.partitioned {
			c.log.Emit(observe.RegionHealed, observe.Str("zone", zone), observe.Int("members", count))
		}
		c.zones[zone] = zoneState{alive: max(count, min(seen.alive, partitionMinMembers))}
	}
}

// loggedState holds the last logged state of admission levels, limits, brownouts,
// targets and gossip counters. Only the maintenance goroutine uses it.
type loggedState struct {
	raised    bool
	below     map[string]bool
	limit     int
	brownouts map[string]brownoutState
	ejected   map[string]bool
	refuted   uint64
	refused   uint64
	full      uint64
	behind    behindSeen
}

// brownoutState is the last known brownout state of a profile: how many stored answers
// it has returned, for how many looks in a row it has returned none, and whether a
// brownout is on.
type brownoutState struct {
	count int64
	quiet int
	on    bool
}

func newLoggedState() *loggedState {
	return &loggedState{
		below:     make(map[string]bool),
		brownouts: make(map[string]brownoutState),
		ejected:   make(map[string]bool),
	}
}

// reportChanges logs what has changed since the previous look.
func (n *Node) reportChanges() {
	n.reportLevel()
	n.reportLimit()
	n.reportProfiles()
	n.reportTargets()
	n.reportGossip()
	n.logConfigBehind()
	n.reportQuotas()
}

func (n *Node) reportLevel() {
	level := n.gate.AdmitLevel()
	raised := level > 0
	if raised == n.changes.raised {
		return
	}
	n.changes.raised = raised
	if raised {
		n.log.Emit(observe.AdmissionRaised, observe.Str("level", level.String()))
		return
	}
	n.log.Emit(observe.AdmissionNormal)
}

// limitStep is the factor by which the limit must have changed to be logged.
const limitStep = 2

func (n *Node) reportLimit() {
	limit := n.gate.Snapshot().Limit
	last := n.changes.limit
	if last != 0 && limit < last*limitStep && last < limit*limitStep {
		return
	}
	n.changes.limit = limit
	if last != 0 {
		n.log.Emit(observe.LimitChanged, observe.Int("from", last), observe.Int("to", limit))
	}
}

// quietLooks is how many looks in a row without a stored answer end a brownout.
const quietLooks = 5

func (n *Node) reportProfiles() {
	for _, p := range n.config.Current().Profiles() {
		level := n.downstreamLevel(p.Name)
		if raised := level > 0; raised != n.changes.below[p.Name] {
			n.changes.below[p.Name] = raised
			if raised {
				n.log.Emit(observe.LevelBelowRaised, observe.Str("profile", p.Name), observe.Str("level", level.String()))
			}
		}
		if p.Brownout.MaxAge > 0 {
			n.reportBrownout(p.Name)
		}
	}
}

func (n *Node) reportBrownout(profile string) {
	seen := n.changes.brownouts[profile]
	count := n.metrics.Profile(profile).Brownouts.Count()
	seen.quiet++
	if count > seen.count {
		seen.quiet = 0
	}
	switch {
	case seen.quiet == 0 && !seen.on:
		seen.on = true
		n.log.Emit(observe.BrownoutBegan, observe.Str("profile", profile))
	case seen.quiet >= quietLooks && seen.on:
		seen.on = false
		n.log.Emit(observe.BrownoutEnded, observe.Str("profile", profile))
	}
	seen.count = count
	n.changes.brownouts[profile] = seen
}

func (n *Node) reportTargets() {
	for _, service := range n.router.Services() {
		for _, target := range n.router.Snapshot(service) {
			out := target.Ejected > 0
			if out == n.changes.ejected[target.ID] {
				continue
			}
			event := observe.TargetBack
			if out {
				event = observe.TargetAvoided
				n.changes.ejected[target.ID] = true
			} else {
				delete(n.changes.ejected, target.ID)
			}
			n.log.Emit(event, observe.Str("target", target.ID[:min(idPrefix, len(target.ID))]), observe.Str("of", service), observe.Dur("for", target.Ejected))
		}
	}
}

func (n *Node) reportGossip() {
	stats := n.gossip.Stats()
	if stats.Refutations > n.changes.refuted {
		n.log.Emit(observe.SelfRefuted, observe.Int64("times", int64(stats.Refutations)))
	}
	if stats.Refused > n.changes.refused {
		n.metrics.Malformed.With(malformedGossip).Inc(int64(stats.Refused - n.changes.refused))
		n.log.Emit(observe.MalformedMessage, observe.Int64("refused", int64(stats.Refused)))
	}
	if stats.TableFull > n.changes.full {
		n.log.Emit(observe.MembersFull, observe.Int64("left_out", int64(stats.TableFull)))
	}
	n.changes.full = stats.TableFull
	n.changes.refuted = stats.Refutations
	n.changes.refused = stats.Refused
}

// countAttempt counts an attempt, the credit that was lent to it and the credit that it
// returned.
func (n *Node) countAttempt(profile string, lent int, a *answer) {
	p := n.metrics.Profile(profile)
	p.Outbound.Inc(1)
	p.HandedDown.Inc(int64(lent))
	if a.reported || a.report.Outcome != call.Unknown {
		p.Returned.Inc(int64(min(lent, a.report.CreditLeft)))
	}
}
