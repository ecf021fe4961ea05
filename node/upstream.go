package node

import (
	"net"
	"net/http"
	"strconv"
	"time"

	"pollengauge.dev/call"
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
	// Instance names the upstream. With Born it is its incarnation. "": the
	// upstream does not tell.
	Instance string `json:"instance,omitempty"`
	// Born is when the upstream started, in milliseconds of the Unix epoch, by its
	// own clock. An upstream may start again under the Instance that it had; it
	// then knows nothing of before, and its Sequence starts anew. 0: it does not
	// tell.
	Born int64 `json:"born,omitempty"`
	// Draining tells that the upstream is about to leave and takes no new calls.
	Draining bool `json:"draining,omitempty"`
	// Sequence rises with each announcement of an incarnation, so that a late
	// one is known.
	Sequence uint64 `json:"sequence,omitempty"`
}

// MaxSlots is the most slots, and connections, that an announcement can name.
const MaxSlots = 100_000

// check returns a *SettingsError that lists every wrong field.
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
	since     time.Time
	transport *http.Transport
	life      *upstreamLife
}

// Announce takes an announcement of the upstream on this VM; it is the same as
// a POST to the admin API. It may be called at any time after Start. The
// transport is kept while the address, the bound and the incarnation stay the
// same, so that announcing again drops no connection.
func (n *Node) Announce(a Announcement) error {
	if n.spoken() {
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
// left alone. born is as in Announcement.
func (n *Node) Leaving(instance string, born int64) {
	n.announceMu.Lock()
	defer n.announceMu.Unlock()
	if !n.announced.left(instance, born, n.now()) {
		n.log.Emit(observe.AnnouncementStale, observe.Str("instance", instance), observe.Int64("born", born))
		return
	}
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
	a.Instance, a.Born = instance, 0
	n.putUpstream(a)
}

// putUpstream makes a the upstream. The lock on announcements is held.
func (n *Node) putUpstream(a Announcement) {
	old := n.upstream.Load()
	next := &upstream{Announcement: a, since: n.now()}
	if old != nil && old.Addr == a.Addr && old.Connections == a.Connections && old.sameIncarnation(a) {
		next.transport = old.transport
		next.since = old.since
		next.life = old.life
	} else {
		next.transport = newTransport(n.network, a.Connections)
		next.life = newUpstreamLife()
	}
	n.upstream.Store(next)
	if old != nil && old.transport != next.transport {
		old.transport.CloseIdleConnections()
	}
	if old != nil && old.otherLife(a) {
		n.upstreamReplaced(old)
	}
	n.gate.SetSlots(a.Slots)
	n.gate.Hint(a.Load)
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

// maxInstances bounds the incarnations that are remembered.
const maxInstances = 16

// lifeSilence is how long after the last word of an incarnation one with an
// earlier start may follow it. Upstreams announce themselves every second or
// two, and an announcement that was held up is some seconds late.
//
// The failure: the clock of a VM is set back, its upstream starts again, and its
// start seems to be before that of the one that has ended. Left out for ever, the
// upstream would get no calls.
const lifeSilence = 6 * time.Second

// announcedInstances remembers the latest announcement of each upstream, by the
// name that it gives itself.
//
// The failure: an announcement is held up by the network, its sender crashes,
// and a new incarnation announces itself at the same address. The late one
// then takes the new one's place, and calls are refused until the next
// announcement. Sequences tell a late one from a new one, and starts tell the
// lives of an upstream that comes back under its name; an incarnation that has
// left never comes back.
type announcedInstances struct {
	lives map[string]life
	// order has the names in the order of their first announcement.
	order []string
}

// life is what is known of one incarnation.
type life struct {
	born     int64
	sequence uint64
	heard    time.Time
}

// leftSequence is above every sequence.
const leftSequence = ^uint64(0)

// fresh reports whether a is newer than what was announced under its name
// before, and remembers it. Announcements without a name are always fresh.
func (i *announcedInstances) fresh(a Announcement, now time.Time) bool {
	if a.Instance == "" {
		return true
	}
	last, known := i.lives[a.Instance]
	if known && a.Born < last.born && now.Sub(last.heard) < lifeSilence {
		return false
	}
	if known && a.Born == last.born && a.Sequence <= last.sequence {
		return false
	}
	i.set(a.Instance, life{born: a.Born, sequence: a.Sequence, heard: now})
	return true
}

// left remembers that an incarnation has left, and reports whether that is news
// of the latest life under its name. A born of 0 means the latest one.
func (i *announcedInstances) left(instance string, born int64, now time.Time) bool {
	last := i.lives[instance]
	if born != 0 && born < last.born {
		return false
	}
	// The farewell is a word of this life: silence before it says nothing of it, and
	// an earlier one that was held up must not come back.
	i.set(instance, life{born: max(born, last.born), sequence: leftSequence, heard: now})
	return true
}

func (i *announcedInstances) set(instance string, l life) {
	if i.lives == nil {
		i.lives = make(map[string]life)
	}
	if _, known := i.lives[instance]; !known {
		i.order = append(i.order, instance)
		if len(i.order) > maxInstances {
			delete(i.lives, i.order[0])
			i.order = i.order[1:]
		}
	}
	i.lives[instance] = l
}
