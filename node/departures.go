package node

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"pollengauge.dev/incarnation"
	"pollengauge.dev/objects"
	"pollengauge.dev/observe"
)

const (
	// maxDrainTime is how long after the departure of an incarnation was recorded calls may
	// still be sent to it.
	maxDrainTime = 2 * drainSpreadTime
	// storeWait is how long the acknowledgement of a report waits for the platform's store.
	// Upstreams expect the acknowledgement within a second.
	storeWait = 700 * time.Millisecond
	// departureRetryPause is the time between two attempts to read or store departures.
	departureRetryPause = 200 * time.Millisecond
)

// departureLog stores the departures of the upstream on this VM in the background, so that
// they bind the next process of this node.
type departureLog struct {
	// log is nil without a platform.
	log    *incarnation.Log
	events *observe.Logger
	// changed has an element if there are departures to store.
	changed chan struct{}
	// wanted is closed once the stored departures are needed, and restored once they are
	// known.
	wanted, restored chan struct{}
	want             sync.Once

	mu sync.Mutex
	// unstored are the departures to store, nil if there are none. stored is closed once
	// they are stored.
	unstored []incarnation.Departure
	stored   chan struct{}
}

func newDepartureLog(events *observe.Logger) *departureLog {
	return &departureLog{
		events:   events,
		changed:  make(chan struct{}, 1),
		wanted:   make(chan struct{}),
		restored: make(chan struct{}),
	}
}

// record lets departures be stored.
func (l *departureLog) record(departures []incarnation.Departure) {
	if l.log == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unstored == nil {
		l.stored = make(chan struct{})
	}
	l.unstored = departures
	select {
	case l.changed <- struct{}{}:
	default:
	}
}

// DepartureUnstoredError reports that a departure could not be stored in time. It binds this
// process, but would not bind the next one, so it may not be acknowledged yet. The report can
// be repeated; the node goes on trying to store it.
type DepartureUnstoredError struct{ Instance string }

// Error implements error.
func (e *DepartureUnstoredError) Error() string {
	return "the departure of " + strconv.Quote(e.Instance) + " is in force and not stored yet: repeat the report"
}

// awaitStored waits until the departure of an incarnation is stored, but at most for storeWait.
// The error is a *DepartureUnstoredError.
func (l *departureLog) awaitStored(id incarnation.ID) error {
	l.mu.Lock()
	unstored, stored := l.unstored, l.stored
	l.mu.Unlock()
	if !slices.ContainsFunc(unstored, func(d incarnation.Departure) bool { return d.ID == id }) {
		return nil
	}
	timer := time.NewTimer(storeWait)
	defer timer.Stop()
	select {
	case <-stored:
		return nil
	case <-timer.C:
		l.events.Emit(observe.DepartureUnstored, incarnationFields(id)...)
		return &DepartureUnstoredError{Instance: id.Name}
	}
}

// run stores departures until ctx ends.
func (l *departureLog) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.changed:
			l.store(ctx)
		}
	}
}

// store stores the departures, and retries until it succeeds or ctx ends.
func (l *departureLog) store(ctx context.Context) {
	for {
		l.mu.Lock()
		unstored := l.unstored
		l.mu.Unlock()
		if unstored == nil {
			return
		}
		if l.log.Store(ctx, unstored, time.Now()) == nil {
			l.finish(unstored)
			continue
		}
		if !objects.Pause(ctx, departureRetryPause) {
			return
		}
	}
}

// finish records that departures are stored. Others may have been added meanwhile.
func (l *departureLog) finish(stored []incarnation.Departure) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if slices.Equal(l.unstored, stored) {
		l.unstored = nil
		close(l.stored)
	}
}

// recordDeparture logs the first report of a departure and lets it be stored. The caller
// holds announceMu.
func (n *Node) recordDeparture(id incarnation.ID, report string) {
	n.log.Emit(observe.UpstreamDeparted, append(incarnationFields(id), observe.Str("report", report))...)
	if up := n.upstream.Load(); up != nil && up.id() == id {
		up.incarnation.markDeparted(n.incarnations.LeftAt(id))
	}
	n.departures.record(n.incarnations.Departures())
}

// storeDeparturesAgain lets the departures be stored again after the platform has been restored
// to an earlier state.
func (n *Node) storeDeparturesAgain() {
	n.announceMu.Lock()
	defer n.announceMu.Unlock()
	if departures := n.incarnations.Departures(); len(departures) > 0 {
		n.departures.log.Forget()
		n.departures.record(departures)
	}
}

// startDepartures starts to store departures.
func (n *Node) startDepartures(ctx context.Context) {
	if n.store == nil {
		close(n.departures.restored)
		return
	}
	n.departures.log = incarnation.NewLog(n.store, cmp.Or(n.settings.AdvertisePeer, n.Addr(PeerListener)))
	n.done.Go(func() { n.departures.run(ctx) })
	n.done.Go(func() {
		select {
		case <-ctx.Done():
		case <-n.departures.wanted:
			n.restoreDepartures(ctx)
		}
	})
}

// firstSequence is the highest sequence of an upstream's first heartbeat.
const firstSequence = 1

// awaitRestored waits until the departures are known that an earlier process of this node
// has recorded, but at most for storeWait. They are read when they are first needed. It reports
// whether the announcement may be taken.
//
// The upstream may have left before this process began; a delayed heartbeat from before that
// would bring it back into use. One that has announced itself here or has just started has not,
// so that the first start of a fleet reads nothing. While the platform doesn't respond, a
// heartbeat is taken once no delayed one can arrive that was sent before this process began.
func (n *Node) awaitRestored(a Announcement) (mayTake bool) {
	if a.Instance == "" || a.Draining || a.Sequence <= firstSequence || n.knowsIncarnation(a.incarnation()) {
		return true
	}
	l := n.departures
	l.want.Do(func() { close(l.wanted) })
	select {
	case <-l.restored:
		return true
	default:
	}
	timer := time.NewTimer(storeWait)
	defer timer.Stop()
	select {
	case <-l.restored:
		return true
	case <-timer.C:
	}
	mayTake = n.now().Sub(n.started) >= incarnation.ReorderWindow
	n.log.Emit(observe.DeparturesUnknown, append(incarnationFields(a.incarnation()), observe.Int64("sequence", int64(a.Sequence)), observe.Bool("taken", mayTake))...)
	return mayTake
}

func (n *Node) knowsIncarnation(id incarnation.ID) bool {
	n.announceMu.Lock()
	defer n.announceMu.Unlock()
	return n.incarnations.Knows(id)
}

// restoreDepartures reads the stored departures, and retries until it succeeds or ctx ends.
func (n *Node) restoreDepartures(ctx context.Context) {
	stored, err := n.departures.log.Load(ctx, n.now())
	for err != nil {
		if !objects.Pause(ctx, departureRetryPause) {
			return
		}
		stored, err = n.departures.log.Load(ctx, n.now())
	}
	defer close(n.departures.restored)
	if len(stored) == 0 {
		return
	}
	n.announceMu.Lock()
	defer n.announceMu.Unlock()
	n.incarnations.Restore(stored, n.now())
	for _, d := range stored {
		n.log.Emit(observe.DepartureRestored, incarnationFields(d.ID)...)
	}
	if up := n.upstream.Load(); up != nil {
		up.incarnation.markDeparted(n.incarnations.LeftAt(up.id()))
	}
	n.drainWithUpstream(true)
}

// markDeparted records when the incarnation reported that it leaves, the zero time if it has
// not or has taken that back.
func (l *upstreamIncarnation) markDeparted(at time.Time) {
	if at.IsZero() {
		l.departedAt.Store(nil)
		return
	}
	l.departedAt.Store(&at)
}

// checkDeparture counts and logs a call that is sent to an incarnation of the upstream later
// than maxDrainTime after its departure.
func (n *Node) checkDeparture(up *upstream) {
	at := up.incarnation.departedAt.Load()
	if at == nil {
		return
	}
	if after := n.now().Sub(*at); after > maxDrainTime {
		n.metrics.CallsAfterDeparture.Inc(1)
		n.log.Emit(observe.CallAfterDeparture, append(incarnationFields(up.id()), observe.Dur("after", after))...)
	}
}
