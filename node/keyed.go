package node

import (
	"context"
	"errors"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"pollengauge.dev/atmostonce"
	"pollengauge.dev/call"
	"pollengauge.dev/config"
	"pollengauge.dev/objects"
	"pollengauge.dev/observe"
)

// runKeyed runs a call under its idempotency key, so that it runs at most once. A call
// without a key gets a new one. The answer names the key in a header.
func (n *Node) runKeyed(ctx context.Context, req *request) *answer {
	if req.key == "" {
		req.key = n.mint()
	}
	verdict, err := n.begin(ctx, req)
	if err != nil {
		return n.keyRefusal(req, err)
	}
	a := n.followVerdict(ctx, req, verdict)
	a.header.Set(call.HeaderIdempotencyKey, req.key)
	return a
}

// begin presents the key to the key table. It waits for a concurrent presentation of
// the same key until the deadline at most. While the table is handed over to a
// successor, a new key waits for the end of the hand-over, for ownerWait at most,
// instead of being refused at once.
func (n *Node) begin(ctx context.Context, req *request) (atmostonce.Verdict, error) {
	ctx, cancel := context.WithDeadline(ctx, req.deadline)
	defer cancel()
	until := n.now().Add(ownerWait)
	for {
		verdict, err := n.keys.Begin(ctx, n.presentation(req))
		var refused *atmostonce.RefusedError
		moving := errors.As(err, &refused) && refused.Reason == call.ReasonDraining
		if !moving || n.now().After(until) || !objects.Pause(ctx, ownerPollInterval) {
			return verdict, err
		}
	}
}

func (n *Node) followVerdict(ctx context.Context, req *request, verdict atmostonce.Verdict) *answer {
	switch verdict.Kind {
	case atmostonce.Replay:
		n.log.Emit(observe.KeyReplayed, observe.Str("key", observe.RedactKey(req.key)))
		return n.replay(verdict.Answer)
	case atmostonce.Forward:
		if n.settings.Ablate.NoKeyHome {
			return n.admitAndDispatch(ctx, req)
		}
		return n.forwardToOwner(ctx, req, string(verdict.Owner))
	default:
		return n.runAsOwner(ctx, req, verdict.Run)
	}
}

func (n *Node) presentation(req *request) atmostonce.Presentation {
	p := atmostonce.Presentation{
		Key:         req.key,
		RequestID:   req.call.RequestID,
		Profile:     req.call.Profile,
		Fingerprint: fingerprint(req),
		Durable:     req.profile.Record == config.RecordClaim,
	}
	if n.settings.Ablate.NoFingerprint {
		p.Fingerprint = 0
	}
	return p
}

// fingerprint distinguishes requests that carry the same key. Without it, two callers
// that use the same key would get each other's answers.
func fingerprint(req *request) uint64 {
	digest := xxhash.New()
	for _, part := range []string{req.method, req.url.RequestURI(), identityOf(req)} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(req.body.head)
	return max(digest.Sum64(), 1)
}

// identityOf returns the caller's identity for the fingerprint. A caller may renew its
// credentials between two presentations of a key. A profile whose callers send a stable
// name in a header of their own should therefore set CallerHeader to that header.
func identityOf(req *request) string {
	if name := req.profile.CallerHeader; name != "" {
		return req.header.Get(name)
	}
	return req.header.Get("Authorization") + "\x00" + req.header.Get("Cookie")
}

func (n *Node) keyRefusal(req *request, err error) *answer {
	refused := &atmostonce.RefusedError{Outcome: call.Unknown, Reason: call.ReasonKeyUnclaimed}
	errors.As(err, &refused)
	switch refused.Reason {
	case call.ReasonKeyTableFull:
		n.log.Emit(observe.KeyTableFull, observe.Int("entries", n.keys.Len()))
	case call.ReasonKeyReused:
		n.log.Emit(observe.KeyMismatch, observe.Str("key", observe.RedactKey(req.key)))
	}
	return n.refuse(refused.Outcome, refused.Reason, 0)
}

// maxAnswerStatus is the highest status code that net/http writes.
const maxAnswerStatus = 999

// replay returns the stored answer of a key that has already run. The answer may come
// from another node or from the platform, so it isn't trusted: a status code that
// net/http can't write is reported as an answer that is not held, and hop-by-hop
// headers and a wrong Content-Length are removed, so that the stored answer can't
// decide how the connection is framed.
func (n *Node) replay(stored atmostonce.Answer) *answer {
	if stored.Status < http.StatusOK || stored.Status > maxAnswerStatus {
		return n.refuse(call.Unknown, call.ReasonAnswerNotHeld, 0)
	}
	a := &answer{
		status:   stored.Status,
		header:   stored.Header,
		body:     memoryBody(stored.Body),
		trailer:  stored.Trailer,
		decision: observe.Replayed,
	}
	if a.header == nil {
		a.header = http.Header{}
	}
	stripHop(a.header)
	if a.header.Get("Content-Length") != strconv.Itoa(len(stored.Body)) {
		a.header.Del("Content-Length")
	}
	a.report = call.Report{Outcome: call.Complete, Hop: n.settings.Service, HighestAdmitLevel: n.gate.AdmitLevel(), Load: n.gate.Load()}
	return a
}

// runAsOwner runs a call whose key this node owns.
//
// Once the call may have been dispatched, the run is detached from its caller: a caller
// that gives up and retries must find the answer of the first run, not a filing that
// was stopped halfway. Before that point nothing has been done for the call, and it is
// dropped if its caller has gone.
func (n *Node) runAsOwner(ctx context.Context, req *request, run *atmostonce.Run) *answer {
	defer run.Close()
	if ctx.Err() != nil {
		return n.settle(run, n.refuse(call.NotRun, call.ReasonCancelled, 0))
	}
	if refused := n.refuseEarly(req); refused != nil {
		return n.settle(run, refused)
	}
	note := n.notifyWitness(ctx, req)
	if ctx.Err() != nil {
		n.settleNote(note)
		return n.settle(run, n.refuse(call.NotRun, call.ReasonCancelled, 0))
	}
	if err := run.Dispatched(); err != nil {
		n.settleNote(note)
		return n.keyRefusal(req, err)
	}
	if !n.settings.Ablate.NoDetach {
		ctx = context.WithoutCancel(ctx)
	}
	runCtx, cancel := context.WithDeadline(ctx, req.deadline)
	a := n.settle(run, n.dispatchRoot(runCtx, req))
	if a.report.Outcome != call.Unknown {
		n.settleNote(note)
	}
	if a.body == nil {
		cancel()
		return a
	}
	// The answer is too large to store and is still being streamed.
	a.body = &cancelBody{readCloser: a.body, cancel: cancel}
	return a
}

// settle records the outcome of a run in the key table before the caller learns of it.
func (n *Node) settle(run *atmostonce.Run, a *answer) *answer {
	switch a.report.Outcome {
	case call.NotRun:
		if err := run.NotRun(); err != nil {
			// The table can't release the key, for example because a hand-over has
			// taken the claim back. Another presentation may run the key, so the caller
			// must not be told not-run.
			n.logKeyError(err)
			return n.refuse(call.Unknown, a.report.Reason, 0)
		}
		return a
	case call.Unknown:
		n.logKeyError(run.Unknown(a.report.Reason))
		return a
	}
	return n.storeKeyedAnswer(run, a)
}

// storeKeyedAnswer reads the answer, up to MaxAnswerBytes, and stores it in the key table.
func (n *Node) storeKeyedAnswer(run *atmostonce.Run, a *answer) *answer {
	held, err := readBody(a.body, -1, n.settings.MaxAnswerBytes)
	if err != nil {
		n.logKeyError(run.Unknown(call.ReasonTruncated))
		a.close()
		return n.refuse(call.Unknown, call.ReasonTruncated, 0)
	}
	if !held.inMemory() {
		// The answer is too large to store. The table records only that the call has
		// completed; a later presentation is told that the answer is not held.
		n.logKeyError(run.DoneWithoutAnswer())
		body, _ := held.open()
		a.body = &joinedBody{Reader: body, source: a.body}
		return a
	}
	stored := atmostonce.Answer{Status: a.status, Header: a.header.Clone(), Body: held.head, Trailer: a.trailers().Clone(), At: n.now()}
	n.logKeyError(run.Done(stored))
	a.close()
	a.trailer = a.trailers()
	a.resp = nil
	a.body = memoryBody(held.head)
	return a
}

// logKeyError logs the error of a state change that the run's or the table's state does
// not allow.
func (n *Node) logKeyError(err error) {
	if err != nil {
		n.log.Emit(observe.KeyState, observe.Err(err))
	}
}

// runChildKeyed runs a keyed call that the upstream makes during a visit, at most once.
func (n *Node) runChildKeyed(ctx context.Context, req *request, v *visit, childKey string) *answer {
	p := n.presentation(req)
	p.Key = childKey
	p.Durable = false
	verdict, err := n.keys.Begin(ctx, p)
	if err != nil {
		return n.keyRefusal(req, err)
	}
	switch verdict.Kind {
	case atmostonce.Replay:
		return n.replay(verdict.Answer)
	case atmostonce.RunNow:
		run := verdict.Run
		defer run.Close()
		if err := run.Dispatched(); err != nil {
			return n.keyRefusal(req, err)
		}
		return n.settle(run, n.dispatch(ctx, req, v.credit))
	default:
		return n.refuse(call.Unknown, call.ReasonKeyHomeGone, 0)
	}
}
