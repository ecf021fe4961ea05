package node

import (
	"cmp"
	"context"
	"net"
	"slices"
	"time"

	"pollengauge.dev/config"
	"pollengauge.dev/membership"
	"pollengauge.dev/objects"
	"pollengauge.dev/observe"
	"pollengauge.dev/routing"
)

// startMembership joins the gossip, which also distributes the configuration.
func (n *Node) startMembership(ctx context.Context) error {
	cfg := membership.Config{
		Self: membership.Member{
			ID:         n.id,
			Service:    n.settings.Service,
			Addr:       cmp.Or(n.settings.AdvertisePeer, n.Addr(PeerListener)),
			GossipAddr: n.gossipAddr(),
			Zone:       n.settings.Zone,
			Region:     n.settings.Region,
		},
		Interval: n.settings.GossipInterval,
		Listener: n.listeners["gossip"],
		Dial:     func(ctx context.Context, addr string) (net.Conn, error) { return n.peerNetwork.Dial(ctx, addr) },
		Seeds:    n.seeds,
		Delegate: &gossipDelegate{node: n},
		// Other nodes must be able to fetch any configuration that one node has in
		// force.
		MaxPayloadBytes: config.MaxNodeEncoded,
	}
	if n.usesDialect() {
		cfg.ProbeLeft = true
		cfg.HealInterval = dialectHealInterval
	}
	gossip, err := membership.New(cfg)
	if err != nil {
		return err
	}
	n.gossip = gossip
	n.memberChanges = newMemberChanges(n.log, n.id)
	refresh := newCoalescer(minRefreshInterval, n.refreshTargets)
	report := newCoalescer(minReportInterval, func() { n.memberChanges.look(gossip) })
	gossip.Subscribe(refresh.trigger)
	gossip.Subscribe(report.trigger)
	n.done.Go(func() { refresh.run(ctx) })
	n.done.Go(func() { report.run(ctx) })
	return gossip.Start(ctx)
}

// dialectSlowStart is how long a new node takes to get its full share of calls when a
// dialect is used. Upstreams there are slow for three seconds after their start, and an
// upstream whose node alone was restarted is not slow at all. With the routing's
// default of 10 s, most of a zone's calls go to other zones after each restart: while
// the nodes of a service restarted in turn, the remaining ones got more calls than they
// can handle.
const dialectSlowStart = 3 * time.Second

func (n *Node) slowStart() time.Duration {
	if n.usesDialect() {
		return dialectSlowStart
	}
	return routing.DefaultSlowStart
}

// gossipAddr returns the address at which other nodes reach this node's gossip
// listener.
func (n *Node) gossipAddr() string {
	return cmp.Or(n.settings.AdvertiseGossip, n.Addr(GossipListener))
}

// dialectHealInterval is the time between two attempts to reach a member that is gone
// when a dialect is used. If nodes restart at their addresses while the platform's
// store is unavailable, only the other members can bring them back, and every second
// without them matters.
const dialectHealInterval = time.Second

// minRefreshInterval is the minimum time between two refreshes of the targets.
//
// The cost of a refresh grows with the number of members, and the refresh used to run
// for each change, before the peer got its response. When many of some hundred members
// came and went at once, the responses arrived after the peers' timeouts. The peers
// then considered this node dead, which caused more changes. A single change is still
// applied at once. In a burst of changes the work is bounded, and a target that has
// gone is tried for at most this much longer.
const minRefreshInterval = 100 * time.Millisecond

// minReportInterval is the minimum time between two reports of membership changes in
// the log. A member that comes and goes between two reports is not logged.
const minReportInterval = time.Second

// joinTime is how long a node that has just started only takes calls from outside. It
// announces its upstream to the other nodes, which then send it calls, after it has had
// this time to learn of them.
//
// A node that had no targets yet used to receive calls whose upstream made calls
// itself. Those ended with no-target, so each start of a node made some requests of
// callers at other nodes fail.
const joinTime = time.Second

// announceUpstream announces to the members that this node has an upstream with this many
// slots.
func (n *Node) announceUpstream(slots int) {
	n.ownSlots.Store(int64(slots))
	n.refreshTargets()
	if n.joined.Load() {
		n.announceSlots()
	}
}

// announceSlotsOnceJoined waits until this node has joined and then announces its slots, so
// that other nodes send it calls.
func (n *Node) announceSlotsOnceJoined(ctx context.Context) {
	if n.awaitJoined(ctx) {
		n.joined.Store(true)
		if n.ownSlots.Load() > 0 {
			n.announceSlots()
		}
	}
}

// joinPollInterval is the time between two checks whether this node has joined.
const joinPollInterval = 50 * time.Millisecond

// awaitJoined waits until other nodes may send calls to this node, and returns false if
// ctx ends first. It waits for joinTime. With a dialect it returns earlier, as soon as
// this node has a configuration and knows other members, and the number of members has
// not changed since the last check.
func (n *Node) awaitJoined(ctx context.Context) bool {
	known := 0
	for until := n.now().Add(joinTime); n.now().Before(until); {
		before := known
		known = len(n.gossip.Members())
		if n.usesDialect() && n.config.Status().HasStoredSet && known > 1 && known == before {
			return true
		}
		if !objects.Pause(ctx, joinPollInterval) {
			return false
		}
	}
	return true
}

func (n *Node) announceSlots() {
	err := n.gossip.Update(func(m *membership.Member) { m.Slots = int(n.ownSlots.Load()) })
	if err != nil {
		n.log.Emit(observe.NodeFailed, observe.Err(err))
	}
}

// announceWorkTimes announces to the members how fast the local upstream is, if that has
// changed.
func (n *Node) announceWorkTimes() {
	times, news := n.work.Announcement(n.now())
	if !news {
		return
	}
	announced := make([]membership.WorkTime, 0, len(times))
	for _, one := range times {
		if one.Profile != 0 {
			announced = append(announced, membership.WorkTime(one))
		}
	}
	err := n.gossip.Update(func(m *membership.Member) { m.WorkTimes = announced })
	if err != nil {
		n.log.Emit(observe.NodeFailed, observe.Err(err))
	}
}

// workTimesOf converts the work times that a member announced.
func workTimesOf(m *membership.Member) (times routing.WorkTimes) {
	for i, one := range m.WorkTimes[:min(len(m.WorkTimes), len(times))] {
		times[i] = routing.WorkTime(one)
	}
	return times
}

// refreshTargets passes the members that have an upstream to the router. It runs on
// every membership change, and changes come from several goroutines. Without the lock,
// a goroutine that read the members earlier could set its targets later. The router
// would then keep a member that has gone, or miss one that has come, until the next
// change.
func (n *Node) refreshTargets() {
	n.mergeAnnounced(n.gossip.Members())
	n.targetsMu.Lock()
	defer n.targetsMu.Unlock()
	members := n.gossip.Members()
	n.updateQuotaOwners(members)
	targets := make([]routing.Target, 0, len(members))
	for _, m := range members {
		if m.ID == n.id {
			m.Slots = int(n.ownSlots.Load())
		}
		if m.Slots == 0 {
			continue
		}
		targets = append(targets, routing.Target{
			ID:        m.ID,
			Service:   m.Service,
			Addr:      m.Addr,
			Zone:      m.Zone,
			Region:    m.Region,
			Slots:     m.Slots,
			Draining:  m.Draining,
			Revision:  m.Revision,
			WorkTimes: workTimesOf(&m),
			Local:     m.ID == n.id,
		})
	}
	// A suspicion and its refutation don't change any target. In a burst of changes
	// they are the majority.
	if slices.Equal(targets, n.targets) {
		return
	}
	n.targets = targets
	n.router.SetTargets(targets)
}

// Targets returns how many targets of a service this node can choose from.
func (n *Node) Targets(service string) int {
	return n.router.Candidates(service, nil, n.now())
}
