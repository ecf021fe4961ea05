package node

import (
	"context"
	"errors"
	"hash/fnv"
	"time"

	"pollengauge.dev/config"
	"pollengauge.dev/membership"
	"pollengauge.dev/objects"
	"pollengauge.dev/observe"
)

// configKind is the kind of the platform objects that hold configurations.
const configKind = config.ObjectKind

// gossipDelegate connects the gossip to this node's configuration and to its count of
// the fleet's places.
type gossipDelegate struct{ node *Node }

// LocalVersion implements membership.Delegate.
func (d *gossipDelegate) LocalVersion() uint64 {
	version, _ := d.node.config.Encoded()
	return version
}

// Payload implements membership.Delegate.
func (d *gossipDelegate) Payload() (uint64, []byte) { return d.node.config.Encoded() }

// Offer implements membership.Delegate.
func (d *gossipDelegate) Offer(_ string, _ uint64, data []byte) {
	d.node.offerConfig(data, config.SourcePeer)
}

// NewestVersion implements membership.Delegate.
func (d *gossipDelegate) NewestVersion() (uint64, time.Duration) {
	now := d.node.now()
	version, at := d.node.config.Newest(now)
	return version, now.Sub(at)
}

// ObserveVersion implements membership.Delegate.
func (d *gossipDelegate) ObserveVersion(version uint64, age time.Duration) {
	now := d.node.now()
	d.node.config.RecordVersionNotice(version, now.Add(-age), now)
}

// Places implements membership.Delegate.
func (d *gossipDelegate) Places() int { return d.node.quotas.places() }

// ObservePlaces implements membership.Delegate.
func (d *gossipDelegate) ObservePlaces(count int) {
	q := d.node.quotas
	q.mu.Lock()
	defer q.mu.Unlock()
	q.fleet.RecordReportedSize(count, d.node.now())
}

// offerConfig accepts a configuration that is valid and has a higher version than the
// one in force, and announces it to the members.
func (n *Node) offerConfig(data []byte, source config.Source) {
	accepted, err := n.config.Offer(data, source)
	n.reportOffer(accepted, err)
}

// OfferConfig passes a configuration to this node directly, for embedding without a
// platform. The configuration comes into force if it is valid and its version is
// higher.
func (n *Node) OfferConfig(set config.Set) error {
	accepted, err := n.config.OfferSet(set, config.SourcePeer)
	n.reportOffer(accepted, err)
	return err
}

// reportOffer logs the result of an offered configuration and announces an accepted one
// to the members.
func (n *Node) reportOffer(accepted bool, err error) {
	var fork *config.ForkError
	switch {
	case errors.As(err, &fork):
		n.log.Emit(observe.ConfigFork, observe.Err(err))
	case err != nil:
		n.log.Emit(observe.ConfigRefused, observe.Err(err))
	case accepted:
		// The accepted version replaces the stored one whose version was unreadable. A
		// node that no longer watches the platform would not learn that otherwise.
		n.storedUnreadable.Store(false)
		n.configSince.Store(n.now().UnixNano())
		status := n.config.Status()
		n.log.Emit(observe.ConfigAccepted, observe.Int64("version", int64(status.Version)), observe.Str("source", string(status.Source)))
		if count, first := n.config.Current().UnservedRoutes(); count > 0 {
			n.log.Emit(observe.ConfigUnserved, observe.Int("routes", count), observe.Str("first", first))
		}
		n.gossip.Broadcast()
	}
}

const (
	// watchersPerZone is how many nodes of an availability zone watch the platform; the
	// others learn of changes through gossip. The platform counts a waiting watch as a
	// call, and its rate limits grow more slowly than the fleet.
	watchersPerZone = 2
	// dialectWatchers is how many nodes of all zones together watch the platform if a
	// dialect is used: more, because the platform may then reject single VMs, delay its
	// responses or interrupt watches, so that half of a zone may get no updates.
	dialectWatchers = 12
	// minDialectWatchers and maxDialectWatchers bound how many of them are in one zone.
	minDialectWatchers = 2
	maxDialectWatchers = 4
	electInterval      = 5 * time.Second
)

// dialectWatchersPerZone returns how many nodes of each zone watch the platform if a
// dialect is used. A waiting watch costs a call every few seconds, so more zones need
// fewer watchers each.
func dialectWatchersPerZone(zones int) int {
	perZone := (dialectWatchers + zones - 1) / max(zones, 1)
	return min(max(perZone, minDialectWatchers), maxDialectWatchers)
}

// startConfig keeps the configuration up to date: this node watches the platform while
// it is among the first nodes of its zone, and always receives updates from peers.
func (n *Node) startConfig(ctx context.Context) {
	if n.store == nil {
		return
	}
	n.done.Go(func() { n.electLoop(ctx) })
}

// electLoop starts and stops the watch as the membership changes. Nodes may have
// different views of the membership. A few watchers too many or too few for a while
// cost platform calls or a second of delay, but never safety.
func (n *Node) electLoop(ctx context.Context) {
	var stopWatch context.CancelFunc
	defer func() {
		if stopWatch != nil {
			stopWatch()
		}
	}()
	n.fetchConfig(ctx)
	if !n.awaitSettled(ctx) {
		return
	}
	// A platform that does not respond must not delay the election.
	n.done.Go(func() { n.offerOnceSettled(ctx) })
	for ; ctx.Err() == nil; objects.Pause(ctx, electInterval) {
		watch := n.watchesPlatform()
		switch {
		case watch && stopWatch == nil:
			stopWatch = n.startWatch(ctx)
		case !watch && stopWatch != nil:
			stopWatch()
			stopWatch = nil
		}
	}
}

// fetchConfig reads the configuration once, at the start. The read is relaxed: the
// members pass on what is newer, and a node without members soon watches the platform.
func (n *Node) fetchConfig(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, bootstrapTimeout)
	defer cancel()
	kind, name := n.configObject()
	o, err := objects.GetRelaxed(ctx, n.store, kind, name)
	var empty *objects.NotFoundError
	if errors.As(err, &empty) {
		return // No configuration is stored, so operators have chosen the default.
	}
	if err != nil {
		n.log.Emit(observe.ConfigDefault, observe.Err(err))
		return
	}
	n.applyConfigObject(o)
}

func (n *Node) startWatch(ctx context.Context) context.CancelFunc {
	ctx, cancel := context.WithCancel(ctx)
	kind, _ := n.configObject()
	watcher := &objects.Watcher{
		Store:   n.store,
		Kind:    kind,
		Handle:  func(e objects.Event) { n.applyConfigObject(e.Object) },
		OnError: func(err error) { n.log.Emit(observe.PlatformWatchFailed, observe.Str("kind", kind), observe.Err(err)) },
		Backoff: objects.Backoff{Max: config.DefaultFollowBackoff},
	}
	n.done.Go(func() { watcher.Run(ctx) })
	n.done.Go(func() { n.readRecordsExactly(ctx) })
	return cancel
}

// applyConfigObject applies the object that holds the configuration and ignores all
// other objects of its kind.
func (n *Node) applyConfigObject(o objects.Object) {
	if _, name := n.configObject(); o.Name != name || len(o.Value) == 0 {
		return
	}
	if n.usesDialect() {
		n.applyDialectConfig(o)
		return
	}
	n.noteStored(config.StoredVersion(o.Value))
	n.reportOffer(n.config.OfferObject(o))
}

// configObject returns the kind and name of the object that holds the configuration.
func (n *Node) configObject() (kind, name string) {
	if n.settings.ConfigKind == "" {
		return configKind, config.ObjectName
	}
	return n.settings.ConfigKind, n.settings.ConfigName
}

// applyDialectConfig applies a configuration in the format of the dialect.
func (n *Node) applyDialectConfig(o objects.Object) {
	set, err := n.settings.Dialect.DecodeConfig(o.Value)
	n.noteStored(set.Version, err == nil || set.Version > 0)
	if err != nil {
		n.reportOffer(false, err)
		return
	}
	n.reportOffer(n.config.OfferSet(set, config.SourcePlatform))
}

// watchesPlatform reports whether this node is among the first nodes of its zone. The
// order of two nodes does not change as members come and go.
func (n *Node) watchesPlatform() bool {
	sameZone := func(m membership.Member) bool { return m.Zone == n.settings.Zone }
	return n.earlierMembers(sameZone) < n.watchers()
}

// earlierMembers counts the members of a group that come before this node in the order of
// watchRank.
func (n *Node) earlierMembers(inGroup func(membership.Member) bool) (earlier int) {
	own := watchRank(n.id)
	for _, m := range n.gossip.Members() {
		if inGroup(m) && watchRank(m.ID) < own {
			earlier++
		}
	}
	return earlier
}

// watchers returns how many nodes of a zone watch the platform.
func (n *Node) watchers() int {
	if !n.usesDialect() {
		return watchersPerZone
	}
	zones := map[string]bool{n.settings.Zone: true}
	for _, m := range n.gossip.Members() {
		zones[m.Zone] = true
	}
	return dialectWatchersPerZone(len(zones))
}

func watchRank(id string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(id))
	return hash.Sum64()
}
