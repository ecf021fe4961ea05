package node

import (
	"context"
	"time"

	"pollengauge.dev/call"
	"pollengauge.dev/observe"
	"pollengauge.dev/quarantine"
	"pollengauge.dev/retry"
	"pollengauge.dev/routing"
)

// quarantineState is what this node knows about requests under which upstreams crash.
type quarantineState struct {
	ledger *quarantine.Ledger
	// bulletin holds the records that this node announces to the members.
	bulletin quarantine.Announcements
	toStore  recordQueue
}

func newQuarantineState() *quarantineState {
	return &quarantineState{ledger: quarantine.NewLedger(), toStore: newRecordQueue()}
}

// checkQuarantine checks at the sender whether a request may be sent. It returns a
// refusal if not; trial is set if the request may only be sent as a trial.
func (n *Node) checkQuarantine(req *request) (refused *answer, trial bool) {
	if n.quarantine.ledger.Empty() || n.settings.Ablate.NoQuarantine {
		return nil, false
	}
	verdict := n.quarantine.ledger.Decide(contentFingerprint(req), n.now())
	req.call.Ends = max(req.call.Ends, verdict.Ends)
	switch verdict.Action {
	case quarantine.Hold:
		return n.refuseQuarantined(req, verdict), false
	case quarantine.Trial:
		return nil, true
	default:
		return nil, false
	}
}

// refuseQuarantined refuses a quarantined request. The request was not sent to any
// member.
func (n *Node) refuseQuarantined(req *request, verdict quarantine.Verdict) *answer {
	n.metrics.Profile(req.call.Profile).Refused(call.ReasonHeld)
	a := n.refuse(call.NotRun, call.ReasonHeld, min(verdict.After, maxRetryAfter))
	a.report.Hop = req.service
	a.report.Ends, a.report.EndsStamp = verdict.Ends, verdict.Stamp
	a.report.CreditLeft = req.call.Credit
	return a
}

// runTrial sends a request whose quarantine time is over to the one member that runs the
// trial. Whatever the result, no other upstream receives the request.
func (n *Node) runTrial(ctx context.Context, req *request) *answer {
	target, ok := n.trialMember(req)
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
	a.retryStop = retry.WhyQuarantined
	n.recordAttempt(&attempt, a, 1, 0, start, n.now().Sub(start))
	return a
}

// trialMember returns the member that runs the trial of a request.
func (n *Node) trialMember(req *request) (routing.Target, bool) {
	n.targetsMu.Lock()
	defer n.targetsMu.Unlock()
	var ids []string
	for i := range n.targets {
		if n.targets[i].Service == req.service && !n.targets[i].Draining {
			ids = append(ids, n.targets[i].ID)
		}
	}
	chosen := quarantine.TrialMember(ids, contentFingerprint(req))
	for i := range n.targets {
		if chosen != "" && n.targets[i].ID == chosen {
			return n.targets[i], true
		}
	}
	return routing.Target{}, false
}

// checkQuarantineHere checks beside the upstream whether a request may run there, because
// a sender may not have learned yet that the request is quarantined.
func (n *Node) checkQuarantineHere(req *request) (refused *answer, trial bool) {
	if n.quarantine.ledger.Empty() || n.settings.Ablate.NoQuarantine {
		return nil, false
	}
	f := contentFingerprint(req)
	verdict := n.quarantine.ledger.Begin(f, n.now())
	switch verdict.Action {
	case quarantine.Hold:
		return n.refuseQuarantined(req, verdict), false
	case quarantine.Trial:
		n.metrics.Quarantine.With(trialBegun).Inc(1)
		n.log.Emit(observe.RequestTried, observe.Str("fingerprint", f.String()), observe.Int("ends", verdict.Ends))
		return nil, true
	default:
		return nil, false
	}
}

// Values of the label "change" of the quarantine metric.
const (
	requestSuspected = "suspected"
	requestHeld      = "held"
	trialBegun       = "tried"
	requestCleared   = "cleared"
)

// abandonRun ends a run whose result says nothing about the request. If the upstream
// crashed, Blame has already counted the crash.
func (n *Node) abandonRun(req *request, sent bool) {
	if !n.quarantine.ledger.Empty() {
		n.quarantine.ledger.Abandon(contentFingerprint(req), sent, n.now())
	}
}

// completeRun records that the upstream has completed a request. An error response
// doesn't count: the upstream may have failed before the code that crashes it.
func (n *Node) completeRun(req *request, incarnation *upstreamIncarnation) {
	f := contentFingerprint(req)
	incarnation.completed.Note(f)
	if record, isNew := n.quarantine.ledger.Completed(f, n.now()); isNew {
		n.noteCleared(record, "completed")
		n.postRecord(record)
	}
}

// blameRuns counts a crash of the local upstream against the requests that it was
// running, and announces the result to the members.
func (n *Node) blameRuns(runs []quarantine.Running) {
	blame := n.quarantine.ledger.Blame(runs, n.now())
	for i, held := range blame.Held {
		n.noteQuarantined(held.Record, held.Label)
		n.quarantine.bulletin.Post(held.Record, n.now())
		if i < maxStoredPerCrash {
			n.queueRecord(held.Record, held.Label)
		}
	}
	if len(blame.Held) > 0 {
		n.announceQuarantined()
	}
	if len(blame.Suspects) > 0 {
		n.metrics.Quarantine.With(requestSuspected).Inc(int64(len(blame.Suspects)))
		n.notifySuspects(blame.Suspects)
	}
}

// maxLabel bounds the description of a request, in bytes.
const maxLabel = 120

// labelOf describes a request for operators. It omits the query, which may contain data
// that must not be logged.
func labelOf(req *request) string {
	label := req.service + ": " + req.method + " " + req.call.Host + req.url.EscapedPath()
	return label[:min(len(label), maxLabel)]
}

// crashVerdict returns what this node knows about the upstreams that crashed under a
// request.
func (n *Node) crashVerdict(req *request) quarantine.Verdict {
	return n.quarantine.ledger.Decide(contentFingerprint(req), n.now())
}

// mergeReportedCrashes merges what an answer reports about the upstreams that crashed
// under its request: announcements by the members take longer to arrive.
func (n *Node) mergeReportedCrashes(req *request, reported *call.Report) {
	if reported.Ends < quarantine.QuarantineThreshold {
		return
	}
	record := quarantine.Record{Fingerprint: contentFingerprint(req), Ends: reported.Ends, Stamp: reported.EndsStamp}
	if n.mergeRecord(record) {
		n.announceQuarantined()
	}
}

func (n *Node) noteQuarantined(record quarantine.Record, label string) {
	n.metrics.Quarantine.With(requestHeld).Inc(1)
	n.log.Emit(observe.RequestHeld,
		observe.Str("fingerprint", record.Fingerprint.String()),
		observe.Int("ends", record.Ends),
		observe.Dur("hold", quarantine.HoldTime(record.Ends)),
		observe.Str("request", label))
}

func (n *Node) noteCleared(record quarantine.Record, by string) {
	n.metrics.Quarantine.With(requestCleared).Inc(1)
	n.log.Emit(observe.RequestCleared, observe.Str("fingerprint", record.Fingerprint.String()), observe.Str("by", by))
}

// postRecord announces a record of this node to the members and stores it in the
// platform.
func (n *Node) postRecord(record quarantine.Record) {
	n.quarantine.bulletin.Post(record, n.now())
	n.queueRecord(record, "")
	n.announceQuarantined()
}

// ClearHeld releases a request from quarantine at all members. It returns false if this
// node doesn't know the request.
func (n *Node) ClearHeld(f quarantine.Fingerprint) bool {
	record, known := n.quarantine.ledger.Clear(f, n.now())
	if known {
		n.noteCleared(record, "operator")
		n.postRecord(record)
	}
	return known
}

// sweepQuarantine removes outdated entries from the ledger and the bulletin.
func (n *Node) sweepQuarantine() {
	now := n.now()
	n.quarantine.ledger.Sweep(now)
	if n.quarantine.bulletin.Sweep(now) {
		n.announceQuarantined()
	}
}

// updateQuarantineGauges updates the gauges of suspected and quarantined requests.
func (n *Node) updateQuarantineGauges() {
	counts := n.quarantine.ledger.Counts()
	n.metrics.Quarantined.With("suspect").Update(int64(counts.Suspects))
	n.metrics.Quarantined.With("held").Update(int64(counts.Held))
}

// HeldView describes to operators a request under which upstreams have crashed.
type HeldView struct {
	Fingerprint string `json:"fingerprint"`
	// Ends is how many upstreams in succession have crashed under the request.
	Ends int `json:"ends"`
	// Since is when this node learned of the last of these crashes.
	Since time.Time `json:"since"`
	// TrialInMs is the time until the request is tried again, in milliseconds.
	TrialInMs int64 `json:"trialInMs"`
	// Request is the service and the request's method, host and path. It is set if an
	// upstream crashed beside this node.
	Request string `json:"request,omitempty"`
}

// HeldRequests lists the quarantined requests that this node knows, and with suspects
// set also those that are only suspected.
func (n *Node) HeldRequests(suspects bool) []HeldView {
	least := quarantine.QuarantineThreshold
	if suspects {
		least = 1
	}
	views := []HeldView{}
	for _, held := range n.quarantine.ledger.List(least, n.now()) {
		views = append(views, HeldView{
			Fingerprint: held.Fingerprint.String(),
			Ends:        held.Ends,
			Since:       held.Since,
			TrialInMs:   held.Left.Milliseconds(),
			Request:     held.Label,
		})
	}
	return views
}
