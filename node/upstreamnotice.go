package node

import (
	"sync"
	"sync/atomic"
	"time"

	"pollengauge.dev/observe"
)

// UpstreamNotice is what the upstream states about itself in a response.
type UpstreamNotice struct {
	// Limit is how many requests a second the upstream takes from all nodes together.
	// It is valid only if Limited is set.
	Limit   float64
	Limited bool
	// Leaving is set if the upstream is about to stop.
	Leaving bool
}

// noticeState is what one incarnation of the upstream has stated about itself.
type noticeState struct {
	// limited is set while the incarnation names a limit.
	limited atomic.Bool

	mu      sync.Mutex
	limit   float64
	leaving bool
	// sent counts the requests sent while a limit is named.
	sent         slidingCount
	overrunUntil time.Time
}

// malformedNotice is the label of responses with a notice that can't be read.
const malformedNotice = "upstream-notice"

// recordNotice records what a response states about the upstream that sent it.
func (n *Node) recordNotice(up *upstream, a UpstreamAnswer) {
	if a.MalformedNotice {
		n.metrics.Malformed.With(malformedNotice).Inc(1)
		return
	}
	s := &up.incarnation.notices
	if !a.Notice.Limited && !a.Notice.Leaving && !s.limited.Load() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.Notice.Leaving && !s.leaving {
		s.leaving = true
		n.log.Emit(observe.UpstreamLeaving, observe.Str("instance", up.Instance))
	}
	if a.Notice.Limited && (!s.limited.Load() || s.limit != a.Notice.Limit) {
		s.limit = a.Notice.Limit
		n.log.Emit(observe.UpstreamLimited, observe.Str("instance", up.Instance), observe.Float("limit", s.limit))
	}
	if s.limited.Swap(a.Notice.Limited) && !a.Notice.Limited {
		n.log.Emit(observe.UpstreamFreed, observe.Str("instance", up.Instance))
	}
}

// namedLimit returns the limit that the upstream names, 0 if it names none.
func (n *Node) namedLimit() float64 {
	up := n.upstream.Load()
	if up == nil || !up.incarnation.notices.limited.Load() {
		return 0
	}
	s := &up.incarnation.notices
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limit
}

const (
	// limitTolerance and limitSlack define the requests that an upstream may get within
	// slidingCountTime: limitTolerance times what its limit allows, and limitSlack more.
	limitTolerance = 1.5
	limitSlack     = 5
	// overrunLogPause is the least time between two lines of UpstreamOverrun.
	overrunLogPause = time.Second
)

// countSent counts a request that is sent to an upstream that names a limit, and logs if
// the limit is exceeded.
func (n *Node) countSent(up *upstream) {
	s := &up.incarnation.notices
	if !s.limited.Load() {
		return
	}
	now := n.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	sent := s.sent.add(now)
	allowed := limitTolerance*s.limit*slidingCountTime.Seconds() + limitSlack
	if float64(sent) <= allowed || now.Before(s.overrunUntil) {
		return
	}
	s.overrunUntil = now.Add(overrunLogPause)
	n.log.Emit(observe.UpstreamOverrun, observe.Str("instance", up.Instance),
		observe.Float("limit", s.limit), observe.Int("sent", sent), observe.Float("allowed", allowed))
}
