package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"pollengauge.dev/call"
	"pollengauge.dev/observe"
	"pollengauge.dev/quarantine"
	"pollengauge.dev/retry"
	"pollengauge.dev/routing"
)

// quarantines are what this node knows of requests under which upstreams end.
type quarantines struct {
	// own has the requests to the service of the upstream here.
	own *quarantine.Ledger
	// bulletin is what this node tells the members of its service's requests.
	bulletin quarantine.Bulletin
	kept     keptRecords

	// others counts the ledgers of other services, so that calls need not look for
	// one where there is none.
	others atomic.Int64
	mu     sync.RWMutex
	byName map[string]*quarantine.Ledger
}

// maxLedgers bounds the services whose requests are known: the names come from other
// members.
const maxLedgers = 256

func newQuarantines(service string) *quarantines {
	own := quarantine.NewLedger()
	return &quarantines{
		own:    own,
		kept:   newKeptRecords(),
		byName: map[string]*quarantine.Ledger{service: own},
	}
}

// of returns the ledger of a service, nil if nothing is known of its requests.
func (q *quarantines) of(service string) *quarantine.Ledger {
	if q.others.Load() == 0 && q.own.Empty() {
		return nil
	}
	q.mu.RLock()
	defer q.mu.RUnlock()
	ledger := q.byName[service]
	if ledger == nil || ledger.Empty() {
		return nil
	}
	return ledger
}

// forMember returns the ledger of a service, a new one if there is none. It returns nil
// if there are too many.
func (q *quarantines) forMember(service string) *quarantine.Ledger {
	q.mu.Lock()
	defer q.mu.Unlock()
	ledger := q.byName[service]
	if ledger == nil && len(q.byName) < maxLedgers {
		ledger = quarantine.NewLedger()
		q.byName[service] = ledger
		q.others.Add(1)
	}
	return ledger
}

// all calls visit for each ledger.
func (q *quarantines) all(visit func(service string, ledger *quarantine.Ledger)) {
	q.mu.RLock()
	defer q.mu.RUnlock()
	for service, ledger := range q.byName {
		visit(service, ledger)
	}
}

// heldBack tells where a request is sent from whether it may be sent: it returns a
// refusal if not, and tells if it may only be sent for a trial.
func (n *Node) heldBack(req *request) (refused *answer, trial bool) {
	ledger := n.quarantine.of(req.service)
	if ledger == nil || n.settings.Ablate.NoQuarantine {
		return nil, false
	}
	verdict := ledger.Decide(contentFingerprint(req), n.now())
	req.call.Ends = max(req.call.Ends, verdict.Ends)
	switch verdict.Action {
	case quarantine.Hold:
		return n.refuseHeld(req, verdict), false
	case quarantine.Trial:
		return nil, true
	default:
		return nil, false
	}
}

// refuseHeld refuses a request that is held back. It was sent nowhere.
func (n *Node) refuseHeld(req *request, verdict quarantine.Verdict) *answer {
	n.metrics.Profile(req.call.Profile).Refused(call.ReasonHeld)
	a := n.refuse(call.NotRun, call.ReasonHeld, min(verdict.After, maxRetryAfter))
	a.report.Hop = req.service
	a.report.Ends = verdict.Ends
	a.report.CreditLeft = req.call.Credit
	return a
}

// tryHeld sends a request whose hold is over to the one member that tries it. Whatever
// comes of it, no other upstream gets it.
func (n *Node) tryHeld(ctx context.Context, req *request) *answer {
	target, ok := n.custodianOf(req)
	if !ok {
		a := n.refuse(call.NotRun, call.ReasonNoTarget, 0)
		a.report.Hop = req.service
		return a
	}
	attempt := *req
	attempt.span = req.span.child()
	start := n.now()
	a := n.attempt(ctx, target, &attempt, 0)
	a.target = target.ID
	a.ended = retry.WhyHeld
	n.recordAttempt(&attempt, a, 1, 0, start, n.now().Sub(start))
	return a
}

// custodianOf returns the member that tries a request.
func (n *Node) custodianOf(req *request) (routing.Target, bool) {
	n.targetsMu.Lock()
	defer n.targetsMu.Unlock()
	var ids []string
	for i := range n.targets {
		if n.targets[i].Service == req.service && !n.targets[i].Draining {
			ids = append(ids, n.targets[i].ID)
		}
	}
	chosen := quarantine.Custodian(ids, contentFingerprint(req))
	for i := range n.targets {
		if chosen != "" && n.targets[i].ID == chosen {
			return n.targets[i], true
		}
	}
	return routing.Target{}, false
}

// enterRun tells beside the upstream whether a request may run there: a sender may not
// have heard yet that it is held.
func (n *Node) enterRun(req *request) (refused *answer, trial bool) {
	if n.quarantine.own.Empty() || n.settings.Ablate.NoQuarantine {
		return nil, false
	}
	f := contentFingerprint(req)
	verdict := n.quarantine.own.Begin(f, n.now())
	switch verdict.Action {
	case quarantine.Hold:
		return n.refuseHeld(req, verdict), false
	case quarantine.Trial:
		n.metrics.Quarantine.With(trialBegun).Inc(1)
		n.log.Emit(observe.RequestTried, observe.Str("fingerprint", f.String()), observe.Int("ends", verdict.Ends))
		return nil, true
	default:
		return nil, false
	}
}

// Values of the label change of the metric of the quarantine.
const (
	requestSuspected = "suspected"
	requestHeld      = "held"
	trialBegun       = "tried"
	requestCleared   = "cleared"
)

// abandonRun ends a run that says nothing of its request. Blame has counted an end of
// the upstream already.
func (n *Node) abandonRun(req *request) {
	if !n.quarantine.own.Empty() {
		n.quarantine.own.Abandon(contentFingerprint(req))
	}
}

// completeRun takes in that a request has completed at an upstream.
func (n *Node) completeRun(req *request, life *upstreamLife) {
	f := contentFingerprint(req)
	life.completed.Note(f)
	if record, news := n.quarantine.own.Completed(f, n.now()); news {
		n.noteCleared(record, "completed")
		n.postRecord(record)
	}
}

// blameRuns counts the end of the upstream here against the requests that it was
// running, and tells the members.
func (n *Node) blameRuns(visits []*visit) {
	runs := make([]quarantine.Running, 0, len(visits))
	for _, v := range visits {
		f := contentFingerprint(v.request)
		runs = append(runs, quarantine.Running{
			Fingerprint: f,
			Known:       v.call.Ends,
			Completed:   v.life.completed.Has(f),
			Label:       labelOf(v.request),
		})
	}
	blame := n.quarantine.own.Blame(runs, n.now())
	for _, held := range blame.Held {
		n.noteHeld(n.settings.Service, held.Record, held.Label)
		n.quarantine.bulletin.Post(held.Record, n.now())
		n.keepRecord(held.Record, held.Label)
	}
	if len(blame.Held) > 0 {
		n.tellHeld()
	}
	if len(blame.Suspects) > 0 {
		n.metrics.Quarantine.With(requestSuspected).Inc(int64(len(blame.Suspects)))
		n.tellSuspects(blame.Suspects)
	}
}

// maxLabel bounds the description of a request, in bytes.
const maxLabel = 120

// labelOf describes a request for operators. The query may hold what is not for logs.
func labelOf(req *request) string {
	label := req.method + " " + req.call.Host + req.url.EscapedPath()
	return label[:min(len(label), maxLabel)]
}

// endsOf returns how many upstreams are known to have ended under a request.
func (n *Node) endsOf(req *request) int {
	return n.quarantine.own.Decide(contentFingerprint(req), n.now()).Ends
}

// heardEnds keeps what an answer told of the upstreams that ended under its request:
// the members' records take longer.
func (n *Node) heardEnds(req *request, ends int) {
	if ends < quarantine.HoldFrom {
		return
	}
	if ledger := n.quarantine.forMember(req.service); ledger != nil {
		ledger.Hear(contentFingerprint(req), ends, n.now())
	}
}

func (n *Node) noteHeld(service string, record quarantine.Record, label string) {
	n.metrics.Quarantine.With(requestHeld).Inc(1)
	n.log.Emit(observe.RequestHeld,
		observe.Str("of", service),
		observe.Str("fingerprint", record.Fingerprint.String()),
		observe.Int("ends", record.Ends),
		observe.Dur("hold", quarantine.HoldTime(record.Ends)),
		observe.Str("request", label))
}

func (n *Node) noteCleared(record quarantine.Record, by string) {
	n.metrics.Quarantine.With(requestCleared).Inc(1)
	n.log.Emit(observe.RequestCleared, observe.Str("fingerprint", record.Fingerprint.String()), observe.Str("by", by))
}

// postRecord tells the members, and the platform, of a record of this node's.
func (n *Node) postRecord(record quarantine.Record) {
	n.quarantine.bulletin.Post(record, n.now())
	n.keepRecord(record, "")
	n.tellHeld()
}

// ClearHeld lets a request to this node's service run again. It returns a
// *NotHeldError if the request is not known here.
func (n *Node) ClearHeld(f quarantine.Fingerprint) error {
	record, known := n.quarantine.own.Clear(f, n.now())
	if !known {
		return &NotHeldError{Fingerprint: f.String(), Service: n.settings.Service}
	}
	n.noteCleared(record, "operator")
	n.postRecord(record)
	return nil
}

// NotHeldError tells that nothing is known of a request at a node beside the upstreams
// of a service.
type NotHeldError struct{ Fingerprint, Service string }

// Error implements error.
func (e *NotHeldError) Error() string {
	return "request " + e.Fingerprint + " is not held for " + e.Service + "; ask a node beside an upstream of the service that holds it"
}

// sweepHeld forgets what is out of date.
func (n *Node) sweepHeld() {
	now := n.now()
	n.quarantine.all(func(_ string, ledger *quarantine.Ledger) { ledger.Sweep(now) })
	if n.quarantine.bulletin.Sweep(now) {
		n.tellHeld()
	}
}

// updateHeldGauges tells operators how many requests are known.
func (n *Node) updateHeldGauges() {
	var sum quarantine.Counts
	n.quarantine.all(func(_ string, ledger *quarantine.Ledger) {
		counts := ledger.Counts()
		sum.Held += counts.Held
		sum.Suspects += counts.Suspects
	})
	n.metrics.Quarantined.With("suspect").Update(int64(sum.Suspects))
	n.metrics.Quarantined.With("held").Update(int64(sum.Held))
}

// HeldView is a request under which upstreams have ended, as an operator sees it.
type HeldView struct {
	Service     string `json:"service"`
	Fingerprint string `json:"fingerprint"`
	// Ends is how many upstreams in turn have ended under the request.
	Ends int `json:"ends"`
	// Since is when this node heard of the last of them.
	Since time.Time `json:"since"`
	// TrialInMs is how long the request is held until it is tried, in milliseconds.
	TrialInMs int64 `json:"trialInMs"`
	// Request is its method, host and path, where its upstream ended beside this node.
	Request string `json:"request,omitempty"`
}

// HeldRequests lists the requests that are held back as far as this node knows, and
// those under suspicion with suspects set.
func (n *Node) HeldRequests(suspects bool) []HeldView {
	least := quarantine.HoldFrom
	if suspects {
		least = 1
	}
	views := []HeldView{}
	now := n.now()
	n.quarantine.all(func(service string, ledger *quarantine.Ledger) {
		for _, held := range ledger.List(least, now) {
			views = append(views, HeldView{
				Service:     service,
				Fingerprint: held.Fingerprint.String(),
				Ends:        held.Ends,
				Since:       held.Since,
				TrialInMs:   held.Left.Milliseconds(),
				Request:     held.Label,
			})
		}
	})
	return views
}
