package node

import (
	"net"
	"net/http"
	"strconv"
	"time"

	"pollengauge.dev/call"
	"pollengauge.dev/observe"
)

// Announcement is what an upstream reports about itself to its own node. Each
// announcement replaces the previous one, so repeating it is harmless.
type Announcement struct {
	// Service must be the node's service.
	Service string `json:"service"`
	// Addr is the upstream's host:port on this VM.
	Addr string `json:"addr"`
	// Slots is how many calls the upstream runs at once, 1 to 100000.
	Slots int `json:"slots"`
	// Connections is the maximum number of connections to the upstream, 1 to 100000.
	// 0 selects the node's setting.
	Connections int `json:"connections,omitempty"`
	// ShedStatus is a status code that the upstream returns only before it has done
	// any work for a call. 0 means that it has no such code; then only a response
	// with the outcome header not-run counts as shed.
	ShedStatus int `json:"shedStatus,omitempty"`
	// Load is the load that the upstream reports, 1.0 meaning full. The report may be
	// late or wrong, so it can lower the concurrency limit but never raises it.
	Load float64 `json:"load,omitempty"`
	// Instance names the upstream. Instance and Born together identify its
	// incarnation. Empty means that the upstream doesn't report a name.
	Instance string `json:"instance,omitempty"`
	// Born is when the upstream started, in milliseconds of the Unix epoch by its own
	// clock. An upstream may restart under the same Instance; it then has no state
	// from before, and its Sequence starts again. 0 means that it doesn't report a
	// start time.
	Born int64 `json:"born,omitempty"`
	// Draining reports that the upstream is about to leave and takes no new calls.
	Draining bool `json:"draining,omitempty"`
	// Sequence increases with each announcement of an incarnation, so that an
	// announcement that arrives late can be recognized.
	Sequence uint64 `json:"sequence,omitempty"`
}

// MaxSlots is the largest number of slots, and of connections, that an announcement
// may give.
const MaxSlots = 100_000

// check returns a *SettingsError that lists every invalid field.
func (a Announcement) check(service string) error {
	var c checker
	if a.Service != service {
		c.add("service", strconv.Quote(a.Service), "this node's service, "+service)
	}
	if _, _, err := net.SplitHostPort(a.Addr); err != nil {
		c.add("addr", strconv.Quote(a.Addr), "host:port")
	}
	c.number("slots", a.Slots, 1, MaxSlots)
	c.number("connections", a.Connections, 0, MaxSlots)
	if a.ShedStatus != 0 {
		c.number("shedStatus", a.ShedStatus, http.StatusBadRequest, maxStatus)
	}
	if !(a.Load >= 0 && a.Load <= 1000) {
		c.add("load", strconv.FormatFloat(a.Load, 'g', -1, 64), "0 to 1000")
	}
	return c.result()
}

const maxStatus = 599

// upstream is the announced upstream and the connections to it.
type upstream struct {
	Announcement
	since       time.Time
	transport   *http.Transport
	incarnation *upstreamIncarnation
}

// Announce takes an announcement of the upstream on this VM, like a POST to the admin
// API. It may be called at any time after Start. While the address, the connection
// limit and the incarnation stay the same, the transport is reused, so that a
// repeated announcement drops no connection.
func (n *Node) Announce(a Announcement) error {
	if n.usesDialect() {
		a.Service = call.ServiceToken(a.Service)
	}
	if err := a.check(n.settings.Service); err != nil {
		return err
	}
	if a.Connections == 0 {
		a.Connections = n.settings.UpstreamConns
	}
	n.announceMu.Lock()
	defer n.announceMu.Unlock()
	if !n.announced.fresh(a, n.now()) {
		n.log.Emit(observe.AnnouncementStale, append(incarnationFields(a.Instance, a.Born), observe.Int64("sequence", int64(a.Sequence)))...)
		return nil
	}
	if up := n.upstream.Load(); a.Draining && (up == nil || !up.Draining || !up.sameIncarnation(a)) {
		n.log.Emit(observe.UpstreamDeparted, append(incarnationFields(a.Instance, a.Born), observe.Str("report", "heartbeat"))...)
	}
	n.replaceUpstream(a)
	if a.Instance != "" && !n.ending.Load() {
		n.setDraining(a.Draining, causeUpstream)
	}
	return nil
}

// Leaving reports that an incarnation of the upstream takes no new calls and is about
// to stop. It may be repeated. A report about an incarnation other than the current
// one has no effect. born is as in Announcement.
func (n *Node) Leaving(instance string, born int64) {
	n.announceMu.Lock()
	defer n.announceMu.Unlock()
	if !n.announced.recordDeparture(instance, born, n.now()) {
		n.log.Emit(observe.DepartureIgnored, append(incarnationFields(instance, born), observe.Int64("current_born", n.announced.incarnations[instance].born))...)
		return
	}
	n.log.Emit(observe.UpstreamDeparted, append(incarnationFields(instance, born), observe.Str("report", "leave"))...)
	if up := n.upstream.Load(); up != nil && up.Instance == instance {
		up.incarnation.markDeparted(n.announced.departure(instance))
		n.setDraining(true, causeUpstream)
	}
}

// adoptInstance replaces the incarnation of the upstream by the one that the upstream
// named when it rejected a call meant for another. A restarted upstream answers
// before it announces itself, and until then it would reject every call to it.
func (n *Node) adoptInstance(up *upstream, instance string) {
	n.announceMu.Lock()
	defer n.announceMu.Unlock()
	n.log.Emit(observe.UpstreamMisdirected, append(incarnationFields(up.Instance, up.Born), observe.Str("found", instance))...)
	if instance == "" || n.upstream.Load() != up {
		return
	}
	a := up.Announcement
	a.Instance, a.Born = instance, 0
	n.replaceUpstream(a)
}

// replaceUpstream makes a the current upstream. The caller holds announceMu.
func (n *Node) replaceUpstream(a Announcement) {
	old := n.upstream.Load()
	next := &upstream{Announcement: a, since: n.now()}
	if old != nil && old.Addr == a.Addr && old.Connections == a.Connections && old.sameIncarnation(a) {
		next.transport = old.transport
		next.since = old.since
		next.incarnation = old.incarnation
	} else {
		next.transport = newTransport(&countingNetwork{Network: n.network, opened: n.metrics.UpstreamConns}, a.Connections)
		next.incarnation = newIncarnation()
	}
	next.incarnation.markDeparted(n.announced.departure(a.Instance))
	n.upstream.Store(next)
	if old != nil && old.transport != next.transport {
		old.transport.CloseIdleConnections()
	}
	if old != nil && old.incarnation != next.incarnation {
		n.gate.ClearRate()
		n.reportedLoad.Store(nil)
	}
	if old != nil && old.isOtherIncarnation(a) {
		n.upstreamReplaced(old)
	}
	n.gate.SetSlots(a.Slots)
	n.gate.ReportLoad(a.Load)
	if old != nil && !old.sameIncarnation(a) {
		n.work.Reset()
	}
	if old == nil || old.Addr != a.Addr || old.Slots != a.Slots || !old.sameIncarnation(a) {
		n.upstreamChanged(a, old == nil)
	}
}

func (up *upstream) sameIncarnation(a Announcement) bool {
	return up.Instance == a.Instance && up.Born == a.Born
}

// maxInstances is the maximum number of Instance names that are remembered.
const maxInstances = 16

// reorderWindow is the time that must pass after the last announcement of an incarnation
// before an incarnation with an earlier start time may replace it. Upstreams announce
// themselves every second or two, and a delayed announcement is some seconds late.
//
// It handles a VM whose clock is set back before its upstream restarts: the start
// time of the new incarnation then seems to precede that of the old one. If earlier
// start times were rejected for ever, the upstream would get no calls.
const reorderWindow = 6 * time.Second

// announcedInstances remembers the latest announcement of each upstream by its
// Instance.
//
// It guards against an announcement that is delayed by the network while its sender
// crashes and a new incarnation announces itself at the same address. The late
// announcement would replace the new one, and calls would be refused until the next
// announcement. Sequences distinguish late announcements from new ones, and start
// times distinguish the incarnations of an upstream that restarts under the same
// name. An incarnation that has left never comes back.
type announcedInstances struct {
	incarnations map[string]announcedIncarnation
	// order lists the names in the order of their first announcement.
	order []string
}

// announcedIncarnation is the state of the latest incarnation under one name.
type announcedIncarnation struct {
	born     int64
	sequence uint64
	lastSeen time.Time
	// departedAt is when the incarnation first reported that it leaves.
	departedAt time.Time
}

// departure returns when the latest incarnation of a name reported that it leaves, the zero
// time if it did not.
func (i *announcedInstances) departure(instance string) time.Time {
	return i.incarnations[instance].departedAt
}

// departedSequence is the sequence of an incarnation that has left; it is above every
// announced sequence.
const departedSequence = ^uint64(0)

// fresh reports whether a is newer than the last announcement under its name, and
// records it if so. Announcements without a name are always fresh.
func (i *announcedInstances) fresh(a Announcement, now time.Time) bool {
	if a.Instance == "" {
		return true
	}
	last, known := i.incarnations[a.Instance]
	if known && a.Born < last.born && now.Sub(last.lastSeen) < reorderWindow {
		return false
	}
	if known && a.Born == last.born && a.Sequence <= last.sequence {
		return false
	}
	next := announcedIncarnation{born: a.Born, sequence: a.Sequence, lastSeen: now}
	if known && a.Born == last.born {
		next.departedAt = last.departedAt
	}
	if a.Draining && next.departedAt.IsZero() {
		next.departedAt = now
	}
	i.set(a.Instance, next)
	return true
}

// recordDeparture records that an incarnation has left, and reports whether it is the
// latest incarnation under its name. A born of 0 means the latest one.
func (i *announcedInstances) recordDeparture(instance string, born int64, now time.Time) bool {
	last := i.incarnations[instance]
	if born != 0 && born < last.born {
		return false
	}
	// The leave report counts as an announcement of this incarnation: a silence
	// before it is irrelevant, and a delayed announcement of an earlier incarnation
	// must not replace it.
	next := announcedIncarnation{born: max(born, last.born), sequence: departedSequence, lastSeen: now, departedAt: now}
	if next.born == last.born && !last.departedAt.IsZero() {
		next.departedAt = last.departedAt
	}
	i.set(instance, next)
	return true
}

func (i *announcedInstances) set(instance string, l announcedIncarnation) {
	if i.incarnations == nil {
		i.incarnations = make(map[string]announcedIncarnation)
	}
	if _, known := i.incarnations[instance]; !known {
		i.order = append(i.order, instance)
		if len(i.order) > maxInstances {
			delete(i.incarnations, i.order[0])
			i.order = i.order[1:]
		}
	}
	i.incarnations[instance] = l
}
