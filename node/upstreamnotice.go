package node

import (
	"sync"
	"sync/atomic"
	"time"

	"pollengauge.dev/call"
	"pollengauge.dev/observe"
)

// noticeState is what one incarnation of the upstream on this VM has stated about itself.
type noticeState struct {
	// heard is set once a response of the incarnation was read, and stated once the
	// incarnation has stated anything. In between, calls take no lock.
	heard, stated atomic.Bool

	mu       sync.Mutex
	instance string
	limit    limitState
	leaving  bool
	// sent counts the requests sent while a limit is named. Until nextOverrunLog no excess
	// is logged.
	sent           slidingCount
	nextOverrunLog time.Time
}

// malformedNotice is the label of responses with a notice that can't be read.
const malformedNotice = "upstream-notice"

// recordNotice records what a response states about the upstream that sent it. It runs
// before the response is passed on.
func (n *Node) recordNotice(up *upstream, a UpstreamAnswer) {
	if a.MalformedNotice {
		n.metrics.Malformed.With(malformedNotice).Inc(1)
	}
	limitChanged, leaves := up.incarnation.notices.record(up.Instance, a, n.now())
	if leaves {
		n.log.Emit(observe.UpstreamLeaving, observe.Str("instance", up.Instance))
		n.takeDeparture(up.id(), "response")
	}
	if limitChanged {
		n.applyLimit(up)
	}
}

// record records the notice of a response. It reports whether the limit changes, and
// whether the incarnation states for the first time that it is about to stop. A limit that
// can't be read changes nothing.
func (s *noticeState) record(instance string, a UpstreamAnswer, now time.Time) (limitChanged, leaves bool) {
	notice := a.Notice
	if notice == (call.UpstreamNotice{}) && s.heard.Load() && !s.stated.Load() {
		return false, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heard.Store(true)
	s.instance = instance
	if notice.Limited || !a.MalformedNotice {
		limitChanged = s.limit.observe(notice.Limit, notice.Limited, now)
	}
	leaves = notice.Leaving && !s.leaving
	s.leaving = s.leaving || notice.Leaving
	if notice != (call.UpstreamNotice{}) {
		s.stated.Store(true)
	}
	return limitChanged, leaves
}

// adoptNotice records what another node has heard of the upstream here, and reports whether
// its call may run. A node that was restarted knows nothing of its upstream: until the first
// response it would send as many requests as there are slots, to an upstream that may be
// about to stop.
func (n *Node) adoptNotice(up *upstream, heard call.UpstreamNotice) (mayRun bool) {
	if heard.Instance == "" || heard.Instance != up.Instance {
		return true
	}
	limitChanged, leaves := up.incarnation.notices.adopt(heard, n.now())
	if leaves {
		n.log.Emit(observe.UpstreamLeaving, observe.Str("instance", up.Instance))
		n.takeDeparture(up.id(), "member")
	}
	if limitChanged {
		n.applyLimit(up)
	}
	return !heard.Leaving
}

// adopt records the notice that another node has heard. The results are those of record.
func (s *noticeState) adopt(heard call.UpstreamNotice, now time.Time) (limitChanged, leaves bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instance = heard.Instance
	limitChanged = heard.Limited && s.limit.adopt(heard.Limit, now)
	leaves = heard.Leaving && !s.leaving
	s.leaving = s.leaving || heard.Leaving
	if limitChanged || leaves {
		s.stated.Store(true)
	}
	return limitChanged, leaves
}

// applyLimit puts the limit that the upstream names in force at the gate. A response of an
// earlier incarnation has no effect.
func (n *Node) applyLimit(up *upstream) {
	n.announceMu.Lock()
	defer n.announceMu.Unlock()
	if current := n.upstream.Load(); current == nil || current.incarnation != up.incarnation {
		return
	}
	limit, limited := up.incarnation.notices.limitInForce()
	if !limited {
		n.gate.ClearRate()
		n.log.Emit(observe.UpstreamFreed, observe.Str("instance", up.Instance))
		return
	}
	n.gate.SetRate(limit)
	up.incarnation.notices.postponeOverrunLog(n.now().Add(slidingCountTime))
	n.log.Emit(observe.UpstreamLimited, observe.Str("instance", up.Instance), observe.Float("limit", limit))
}

// postponeOverrunLog lets no excess be logged until then: requests that were sent under an
// earlier, higher limit are no excess.
func (s *noticeState) postponeOverrunLog(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextOverrunLog = until
}

func (s *noticeState) limitInForce() (limit float64, limited bool) {
	if !s.stated.Load() {
		return 0, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limit.limit, s.limit.limited
}

// notice returns what the incarnation states now, for the node where a request began.
func (s *noticeState) notice() call.UpstreamNotice {
	if !s.stated.Load() {
		return call.UpstreamNotice{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.limit.limited && !s.leaving {
		return call.UpstreamNotice{}
	}
	return call.UpstreamNotice{Instance: s.instance, Limit: s.limit.limit, Limited: s.limit.limited, Leaving: s.leaving}
}

// namedLimit returns the limit that the upstream names, 0 if it names none.
func (n *Node) namedLimit() float64 {
	up := n.upstream.Load()
	if up == nil {
		return 0
	}
	limit, _ := up.incarnation.notices.limitInForce()
	return limit
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
// the limit, unchanged for slidingCountTime, is exceeded.
func (n *Node) countSent(up *upstream) {
	s := &up.incarnation.notices
	if !s.stated.Load() {
		return
	}
	now := n.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.limit.limited {
		return
	}
	sent := s.sent.add(now)
	allowed := limitTolerance*s.limit.limit*slidingCountTime.Seconds() + limitSlack
	if float64(sent) <= allowed || now.Before(s.nextOverrunLog) {
		return
	}
	s.nextOverrunLog = now.Add(overrunLogPause)
	n.log.Emit(observe.UpstreamOverrun, observe.Str("instance", up.Instance),
		observe.Float("limit", s.limit.limit), observe.Int("sent", sent), observe.Float("allowed", allowed))
}
