package node

import (
	"cmp"
	"context"
	"errors"
	"hash/fnv"
	"time"

	"pollengauge.dev/config"
	"pollengauge.dev/objects"
	"pollengauge.dev/observe"
)

// configKind is the kind of the platform's objects that hold configuration.
const configKind = config.ObjectKind

// gossipDelegate lets configuration travel between nodes.
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

// Hear implements membership.Delegate.
func (d *gossipDelegate) Hear(version uint64, age time.Duration) {
	now := d.node.now()
	d.node.config.Hear(version, now.Add(-age), now)
}

// Places implements membership.Delegate.
func (d *gossipDelegate) Places() int { return d.node.quotas.places() }

// HearPlaces implements membership.Delegate.
func (d *gossipDelegate) HearPlaces(count int) {
	q := d.node.quotas
	q.mu.Lock()
	defer q.mu.Unlock()
	q.fleet.Heard(count, d.node.now())
}

// offerConfig takes a configuration that is valid and higher, and passes the
// news on.
func (n *Node) offerConfig(data []byte, source config.Source) {
	accepted, err := n.config.Offer(data, source)
	n.noteOffer(accepted, err)
}

// OfferConfig gives this node a configuration directly, for embedding without
// a platform. It is in force if it is valid and its version is higher.
func (n *Node) OfferConfig(set config.Set) error {
	accepted, err := n.config.OfferSet(set, config.SourcePeer)
	n.noteOffer(accepted, err)
	return err
}

// noteOffer logs what became of an offered configuration and passes the news
// of a new one on.
func (n *Node) noteOffer(accepted bool, err error) {
	var fork *config.ForkError
	switch {
	case errors.As(err, &fork):
		n.log.Emit(observe.ConfigFork, observe.Err(err))
	case err != nil:
		n.log.Emit(observe.ConfigRefused, observe.Err(err))
	case accepted:
		// It came after the one without a version, which nothing else would tell a
		// node that no longer watches the platform.
		n.unreadable.Store(false)
		n.configSince.Store(n.now().UnixNano())
		status := n.config.Status()
		n.log.Emit(observe.ConfigAccepted, observe.Int64("version", int64(status.Version)), observe.Str("source", string(status.Source)))
		if count, first := n.config.Current().Unserved(); count > 0 {
			n.log.Emit(observe.ConfigUnserved, observe.Int("routes", count), observe.Str("first", first))
		}
		n.gossip.Broadcast()
	}
}

const (
	// watchersPerZone is how many nodes of an availability zone hold a watch
	// on the platform; the others hear through gossip. The platform counts
	// a waiting watch as a call, and its rates grow more slowly than the fleet.
	watchersPerZone = 2
	// watchersInDialect is more: where the platform may turn single VMs away,
	// hold its answers back or cut watches, half of a zone can be without news.
	watchersInDialect = 4
	electInterval     = 5 * time.Second
	// firstElection is after the node has joined. One that has just started
	// knows nobody and would elect itself: when all nodes of a fleet start,
	// each would list and watch for a moment, which is more reads than the
	// platform takes. The configuration is read at the start in any case.
	firstElection = time.Second
)

// startConfig keeps the configuration current: this node watches the platform
// while it is among the first of its zone, and listens to peers always.
func (n *Node) startConfig(ctx context.Context) {
	if n.store == nil {
		return
	}
	n.done.Go(func() { n.electLoop(ctx) })
}

// electLoop starts and stops the watch as the membership changes. Views of the
// membership may differ between nodes; a few watchers too many or too few for
// a while cost calls or a second of delay, never safety.
func (n *Node) electLoop(ctx context.Context) {
	var stopWatch context.CancelFunc
	defer func() {
		if stopWatch != nil {
			stopWatch()
		}
	}()
	wait := firstElection
	n.fetchConfig(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		wait = electInterval
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

// fetchConfig reads the configuration once at the start.
func (n *Node) fetchConfig(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, bootstrapTime)
	defer cancel()
	kind, name := n.configObject()
	o, err := n.store.Get(ctx, kind, name)
	var empty *objects.NotFoundError
	if errors.As(err, &empty) {
		return // nothing stored: the default is what operators chose
	}
	if err != nil {
		n.log.Emit(observe.ConfigDefault, observe.Err(err))
		return
	}
	n.takeConfig(o)
}

func (n *Node) startWatch(ctx context.Context) context.CancelFunc {
	ctx, cancel := context.WithCancel(ctx)
	kind, _ := n.configObject()
	watcher := &objects.Watcher{
		Store:   n.store,
		Kind:    kind,
		Handle:  func(e objects.Event) { n.takeConfig(e.Object) },
		Backoff: objects.Backoff{Max: config.DefaultFollowBackoff},
	}
	n.done.Go(func() { watcher.Run(ctx) })
	return cancel
}

// takeConfig takes the configuration's object, and no other of its kind.
func (n *Node) takeConfig(o objects.Object) {
	if _, name := n.configObject(); o.Name != name || len(o.Value) == 0 {
		return
	}
	if n.spoken() {
		n.takeSpokenConfig(o)
		return
	}
	n.noteStored(config.StoredVersion(o.Value))
	n.noteOffer(n.config.OfferObject(o))
}

// configObject names the object that holds the configuration.
func (n *Node) configObject() (kind, name string) {
	if n.settings.ConfigKind == "" {
		return configKind, config.ObjectName
	}
	return n.settings.ConfigKind, n.settings.ConfigName
}

// takeSpokenConfig takes a configuration in the form of the dialect.
func (n *Node) takeSpokenConfig(o objects.Object) {
	set, err := n.settings.Dialect.DecodeConfig(o.Value)
	n.noteStored(set.Version, err == nil || set.Version > 0)
	if err != nil {
		n.noteOffer(false, err)
		return
	}
	n.noteOffer(n.config.OfferSet(set, config.SourcePlatform))
}

// watchesPlatform tells whether this node is among the first of its zone, in
// an order that does not change as members come and go.
func (n *Node) watchesPlatform() bool {
	ahead := 0
	own := watchRank(n.id)
	for _, m := range n.gossip.Members() {
		if m.Zone != n.settings.Zone || m.ID == n.id {
			continue
		}
		if cmp.Compare(watchRank(m.ID), own) < 0 {
			ahead++
		}
	}
	return ahead < n.watchers()
}

// watchers is how many nodes of a zone watch.
func (n *Node) watchers() int {
	if n.spoken() {
		return watchersInDialect
	}
	return watchersPerZone
}

func watchRank(id string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(id))
	return hash.Sum64()
}
