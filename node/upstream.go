package node

import (
	"net"
	"net/http"
	"strconv"
	"time"

	"pollengauge.dev/call"
	"pollengauge.dev/incarnation"
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
// repeated announcement drops no connection. A departure that it reports is in force at once,
// and stored when Announce returns nil; if the platform doesn't respond in time, the error is a
// *DepartureUnstoredError.
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
	if !n.awaitRestored(a) {
		return nil
	}
	n.takeHeartbeat(a)
	if a.Draining {
		return n.departures.awaitStored(a.incarnation())
	}
	return nil
}

// takeHeartbeat takes an announcement.
func (n *Node) takeHeartbeat(a Announcement) {
	n.announceMu.Lock()
	defer n.announceMu.Unlock()
	id := a.incarnation()
	effect := n.incarnations.Heartbeat(incarnation.Heartbeat{ID: id, Sequence: a.Sequence, Leaving: a.Draining}, n.now())
	if effect.Ignored {
		n.log.Emit(observe.AnnouncementStale, append(incarnationFields(id), observe.Int64("sequence", int64(a.Sequence)))...)
		return
	}
	if effect.Departed {
		n.recordDeparture(id, "heartbeat")
	}
	// An incarnation that gets no calls yet needs no time to let its departure spread.
	old := n.upstream.Load()
	inUse := old != nil && old.sameIncarnation(a)
	n.replaceUpstream(a)
	n.drainWithUpstream(!inUse)
}

// Leaving reports that an incarnation of the upstream takes no new calls and is about
// to stop. It may be repeated. The incarnation gets no calls from then on, whichever one is in
// use. born is as in Announcement. The departure is in force at once, and stored when Leaving
// returns nil; if the platform doesn't respond in time, the error is a *DepartureUnstoredError.
func (n *Node) Leaving(instance string, born int64) error {
	return n.departures.awaitStored(n.takeDeparture(incarnation.ID{Name: instance, Born: born}, "leave"))
}

// takeDeparture takes a report that an incarnation leaves, and returns the incarnation, with
// its start time if that is known.
func (n *Node) takeDeparture(id incarnation.ID, report string) incarnation.ID {
	n.announceMu.Lock()
	defer n.announceMu.Unlock()
	id, effect := n.incarnations.Leave(id, n.now())
	if effect.Disputed {
		current, _ := n.incarnations.Current()
		n.log.Emit(observe.DepartureDisputed, append(incarnationFields(id), observe.Int64("current_born", current.Born))...)
	}
	if effect.Departed {
		n.recordDeparture(id, report)
	}
	n.drainWithUpstream(false)
	return id
}

// adoptInstance handles the rejection of a call that was meant for another incarnation than
// the one that runs. That one replaces the upstream in use if it has announced itself before.
// Otherwise the upstream gets no calls until the next announcement: after a crash its address
// may have been given to a server of another service.
func (n *Node) adoptInstance(up *upstream, instance string) {
	n.announceMu.Lock()
	defer n.announceMu.Unlock()
	if instance == "" || n.upstream.Load() != up {
		return
	}
	n.log.Emit(observe.UpstreamMisdirected, append(incarnationFields(up.id()), observe.Str("found", instance))...)
	n.incarnations.Misdirected(instance, n.now())
	if id, _ := n.incarnations.Current(); id != up.id() {
		a := up.Announcement
		a.Instance, a.Born, a.Sequence = id.Name, id.Born, n.incarnations.Sequence(id)
		n.replaceUpstream(a)
	}
	n.drainWithUpstream(true)
}

// drainWithUpstream begins a drain if the incarnation in use may get no calls, and ends that
// drain if it may. The caller holds announceMu.
func (n *Node) drainWithUpstream(atOnce bool) {
	if _, inUse := n.incarnations.Current(); inUse {
		n.setDraining(causeUpstream, !n.incarnations.Available(), atOnce)
	}
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
	next.incarnation.markDeparted(n.incarnations.LeftAt(a.incarnation()))
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

// incarnation returns the incarnation that the announcement is about.
func (a Announcement) incarnation() incarnation.ID {
	return incarnation.ID{Name: a.Instance, Born: a.Born}
}

func (up *upstream) id() incarnation.ID { return up.Announcement.incarnation() }

func (up *upstream) sameIncarnation(a Announcement) bool { return up.id() == a.incarnation() }
