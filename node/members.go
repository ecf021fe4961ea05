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

// startMembership joins the gossip. The configuration travels with it.
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
		Dial:     func(ctx context.Context, addr string) (net.Conn, error) { return n.between.Dial(ctx, addr) },
		Seeds:    n.seeds,
		Delegate: &gossipDelegate{node: n},
		// What one node has in force, the others must be able to fetch.
		MaxPayloadBytes: config.MaxHeld,
	}
	if n.spoken() {
		cfg.TryLeft = true
		cfg.HealInterval = healInDialect
	}
	gossip, err := membership.New(cfg)
	if err != nil {
		return err
	}
	n.gossip = gossip
	n.memberChanges = newMemberChanges(n.log, n.id)
	refresh := newCoalescer(refreshPause, n.refreshTargets)
	report := newCoalescer(reportPause, func() { n.memberChanges.look(gossip) })
	gossip.Subscribe(refresh.ask)
	gossip.Subscribe(report.ask)
	n.done.Go(func() { refresh.run(ctx) })
	n.done.Go(func() { report.run(ctx) })
	return gossip.Start(ctx)
}

// slowStartInDialect is how long a node that has come takes to get its full
// share. Upstreams there are slow for three seconds after their start, and one
// whose node alone was restarted is not slow at all. The routing's default of
// 10 s sends most of a zone's calls to other zones after each restart: while the
// nodes of a service restart in turn, the rest had to carry more than they can.
const slowStartInDialect = 3 * time.Second

func (n *Node) slowStart() time.Duration {
	if n.spoken() {
		return slowStartInDialect
	}
	return routing.DefaultSlowStart
}

// gossipAddr is where other nodes reach this node's membership.
func (n *Node) gossipAddr() string {
	return cmp.Or(n.settings.AdvertiseGossip, n.Addr(GossipListener))
}

// healInDialect is how often each node tries a member that is gone. Where nodes
// are restarted at their addresses while the platform's store is away, only the
// others can bring them back, and each second without them counts.
const healInDialect = time.Second

// refreshPause bounds how often the targets are refreshed.
//
// The failure: many members come and go at once, each change costs work that
// grows with all members, and it was done before a peer got its answer. With
// some hundred members the answers came after the peers' timeouts, who took
// this node for dead, which made more changes. One change alone is still taken
// in at once; in a storm the work is bounded, and a target that has gone is
// tried for so much longer at most.
const refreshPause = 100 * time.Millisecond

// reportPause bounds how often the log is told of members: what comes and
// goes in between is left out.
const reportPause = time.Second

// joinTime is how long a node that has just started takes calls from outside
// only. The others learn of its upstream, and send it calls, once it has had
// the time to learn of them.
//
// The failure: a node that had no targets yet was sent a call whose upstream
// called out, and the call ended with no-target: each start of a node cost the
// callers of other nodes some requests.
const joinTime = time.Second

// announceSelf tells the members that this node has an upstream.
func (n *Node) announceSelf(slots int) {
	n.ownSlots.Store(int64(slots))
	n.refreshTargets()
	if n.joined.Load() {
		n.tellSlots()
	}
}

// tellSlotsOnceJoined lets the others send calls to this node.
func (n *Node) tellSlotsOnceJoined(ctx context.Context) {
	if n.awaitJoined(ctx) {
		n.joined.Store(true)
		if n.ownSlots.Load() > 0 {
			n.tellSlots()
		}
	}
}

// joinPoll is how often a node looks whether it has joined.
const joinPoll = 50 * time.Millisecond

// awaitJoined waits until this node may be sent calls: for joinTime, or, where a
// dialect is spoken, until it knows a configuration and other members, and has
// not learnt of more since the last look.
func (n *Node) awaitJoined(ctx context.Context) bool {
	known := 0
	for until := n.now().Add(joinTime); n.now().Before(until); {
		before := known
		known = len(n.gossip.Members())
		if n.spoken() && n.config.Status().Heard && known > 1 && known == before {
			return true
		}
		if !objects.Pause(ctx, joinPoll) {
			return false
		}
	}
	return true
}

func (n *Node) tellSlots() {
	err := n.gossip.Update(func(m *membership.Member) { m.Slots = int(n.ownSlots.Load()) })
	if err != nil {
		n.log.Emit(observe.NodeFailed, observe.Err(err))
	}
}

// tellWorkTimes lets the members know how quick the upstream here is.
func (n *Node) tellWorkTimes() {
	times, news := n.work.News(n.now())
	if !news {
		return
	}
	told := make([]membership.WorkTime, 0, len(times))
	for _, one := range times {
		if one.Profile != 0 {
			told = append(told, membership.WorkTime(one))
		}
	}
	err := n.gossip.Update(func(m *membership.Member) { m.WorkTimes = told })
	if err != nil {
		n.log.Emit(observe.NodeFailed, observe.Err(err))
	}
}

// workTimesOf translates what a member told.
func workTimesOf(m *membership.Member) (times routing.WorkTimes) {
	for i, one := range m.WorkTimes[:min(len(m.WorkTimes), len(times))] {
		times[i] = routing.WorkTime(one)
	}
	return times
}

// refreshTargets gives routing the members that have an upstream. It runs on
// every change of the membership, and changes come from several goroutines:
// without the lock one that read the members earlier could set its targets
// later, and routing would keep a member that has gone, or miss one that has
// come, until the next change.
func (n *Node) refreshTargets() {
	n.mergeHeld(n.gossip.Members())
	n.targetsMu.Lock()
	defer n.targetsMu.Unlock()
	members := n.gossip.Members()
	n.updateQuotaHomes(members)
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
	// A suspicion and its refutation change no target, and are the most of
	// what comes in a storm.
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
