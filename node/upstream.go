package node

import (
	"net"
	"net/http"
	"strconv"
	"time"

	"pollengauge.dev/observe"
)

// Announcement is how an upstream makes itself known to its own node.
// Announcing again is harmless and replaces what was said before.
type Announcement struct {
	// Service must be the node's service.
	Service string `json:"service"`
	// Addr is the upstream's host:port on this VM.
	Addr string `json:"addr"`
	// Slots is how many calls the upstream takes at once, 1 to 100000.
	Slots int `json:"slots"`
	// Connections bounds the connections to it, 1 to 100000; 0 takes the
	// node's setting.
	Connections int `json:"connections,omitempty"`
	// ShedStatus is a status code that the upstream uses only before it has
	// done anything for a call. 0: it has none, and only the outcome header
	// not-run counts as such an answer.
	ShedStatus int `json:"shedStatus,omitempty"`
	// Load is the upstream's own report, 1.0 being full. It lags or misleads,
	// so it may lower the limit and never raises it.
	Load float64 `json:"load,omitempty"`
	// Instance is the upstream's incarnation, new at each of its starts. "":
	// the upstream does not tell.
	Instance string `json:"instance,omitempty"`
	// Draining tells that the upstream is about to leave and takes no new calls.
	Draining bool `json:"draining,omitempty"`
	// Sequence rises with each announcement of an incarnation, so that a late
	// one is known.
	Sequence uint64 `json:"sequence,omitempty"`
}

const maxSlots = 100_000

// check returns a *SettingsError that lists every wrong field.
func (a Announcement) check(service string) error {
	var c checker
	if a.Service != service {
		c.add("service", strconv.Quote(a.Service), "this node's service, "+service)
	}
	if _, _, err := net.SplitHostPort(a.Addr); err != nil {
		c.add("addr", strconv.Quote(a.Addr), "host:port")
	}
	c.number("slots", a.Slots, 1, maxSlots)
	c.number("connections", a.Connections, 0, maxSlots)
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
	since     time.Time
	transport *http.Transport
}

// Announce takes an announcement of the upstream on this VM; it is the same as
// a POST to the admin API. It may be called at any time after Start. The
// transport is kept while the address, the bound and the incarnation stay the
// same, so that announcing again drops no connection.
func (n *Node) Announce(a Announcement) error {
	if err := a.check(n.settings.Service); err != nil {
		return err
	}
	if a.Connections == 0 {
		a.Connections = n.settings.UpstreamConns
	}
	n.announceMu.Lock()
	defer n.announceMu.Unlock()
	if !n.announced.fresh(a) {
		n.log.Emit(observe.AnnouncementStale, observe.Str("instance", a.Instance), observe.Int64("sequence", int64(a.Sequence)))
		return nil
	}
	n.putUpstream(a)
	if a.Instance != "" && !n.ending.Load() {
		n.SetDraining(a.Draining)
	}
	return nil
}

// Leaving tells that an incarnation of the upstream takes no new calls and
// will end. It may be repeated; another incarnation than the current one is
// left alone.
func (n *Node) Leaving(instance string) {
	n.announceMu.Lock()
	defer n.announceMu.Unlock()
	n.announced.left(instance)
	if up := n.upstream.Load(); up != nil && up.Instance == instance {
		n.SetDraining(true)
	}
}

// noteInstance takes the word of the upstream that answered for another
// incarnation. A restarted upstream answers before it announces itself, and
// until then each call to it would be refused.
func (n *Node) noteInstance(up *upstream, instance string) {
	n.announceMu.Lock()
	defer n.announceMu.Unlock()
	if instance == "" || n.upstream.Load() != up {
		return
	}
	a := up.Announcement
	a.Instance = instance
	n.putUpstream(a)
}

// putUpstream makes a the upstream. The lock on announcements is held.
func (n *Node) putUpstream(a Announcement) {
	old := n.upstream.Load()
	next := &upstream{Announcement: a, since: n.now()}
	if old != nil && old.Addr == a.Addr && old.Connections == a.Connections && old.Instance == a.Instance {
		next.transport = old.transport
		next.since = old.since
	} else {
		next.transport = newTransport(n.network, a.Connections)
	}
	n.upstream.Store(next)
	if old != nil && old.transport != next.transport {
		old.transport.CloseIdleConnections()
	}
	n.gate.SetSlots(a.Slots)
	n.gate.Hint(a.Load)
	if old == nil || old.Addr != a.Addr || old.Slots != a.Slots || old.Instance != a.Instance {
		n.upstreamChanged(a, old == nil)
	}
}

// maxInstances bounds the incarnations that are remembered.
const maxInstances = 16

// announcedInstances remembers the latest announcement of each incarnation of
// the upstream.
//
// The failure: an announcement is held up by the network, its sender crashes,
// and a new incarnation announces itself at the same address. The late one
// then takes the new one's place, and calls are refused until the next
// announcement. Sequences tell a late one from a new one; an incarnation that
// has left never comes back.
type announcedInstances struct {
	sequences map[string]uint64
	// order has the incarnations in the order of their first announcement.
	order []string
}

// leftSequence is above every sequence.
const leftSequence = ^uint64(0)

// fresh reports whether a is newer than what its incarnation announced before,
// and remembers it. Announcements without an incarnation are always fresh.
func (i *announcedInstances) fresh(a Announcement) bool {
	if a.Instance == "" {
		return true
	}
	last, known := i.sequences[a.Instance]
	if known && a.Sequence <= last {
		return false
	}
	i.set(a.Instance, a.Sequence)
	return true
}

// left remembers that an incarnation has left.
func (i *announcedInstances) left(instance string) { i.set(instance, leftSequence) }

func (i *announcedInstances) set(instance string, sequence uint64) {
	if i.sequences == nil {
		i.sequences = make(map[string]uint64)
	}
	if _, known := i.sequences[instance]; !known {
		i.order = append(i.order, instance)
		if len(i.order) > maxInstances {
			delete(i.sequences, i.order[0])
			i.order = i.order[1:]
		}
	}
	i.sequences[instance] = sequence
}
