package node

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"pollengauge.dev/call"
	"pollengauge.dev/node/pipelining"
	"pollengauge.dev/observe"
)

// maxEarlyRuns bounds the requests of all callers that were started before their turn on
// the connection and are not answered yet. Each one holds a goroutine, its head and a
// connection to another node, about 40 KiB in all. Its answer stays at the node that it
// comes from until the request's turn.
const maxEarlyRuns = 256

// readAheadDivisor gives the part of Settings.HeadMemory that requests may take which were read
// before their turn.
const readAheadDivisor = 4

// pipelined returns a listener whose connections read ahead and start pipelined
// requests before their turn.
func (n *Node) pipelined(l net.Listener) net.Listener {
	return &pipelinedListener{Listener: l, handlers: pipelining.Handlers{
		Begin: n.startEarly, Abandoned: n.cutUnserved, ReadAhead: n.readAhead,
	}}
}

type pipelinedListener struct {
	net.Listener
	handlers pipelining.Handlers
}

// Accept implements net.Listener.
func (l *pipelinedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return pipelining.New(conn, l.handlers), nil
}

// connOf returns the connection of a caller's request, nil for other requests.
func connOf(r *http.Request) *pipelining.Conn {
	if served := servedConnOf(r); served != nil {
		return served.pipelined
	}
	return nil
}

// takeEarlyRun takes from the connection the run of a request that was started before its
// turn. It returns nil for other requests.
func takeEarlyRun(r *http.Request) *earlyRun {
	conn := connOf(r)
	if conn == nil {
		return nil
	}
	run, _ := conn.Take().(*earlyRun)
	return run
}

// earlyRun is the run of a pipelined request that was started before its turn. Its
// time counts from its arrival.
type earlyRun struct {
	node   *Node
	req    *request
	cancel context.CancelFunc
	begun  time.Time
	// done is closed when answer is set.
	done    chan struct{}
	answer  *answer
	endOnce sync.Once
}

// startEarly starts a request that is queued behind an earlier one on its connection.
// It returns nil for a request that has to wait for its turn: one that must not run
// twice, one that the node would refuse, and a call of the upstream on this VM, which
// its handler has to account to its visit.
func (n *Node) startEarly(ctx context.Context, r *http.Request) pipelining.Answer {
	if n.refusesNew() || n.earlyRuns.Add(1) > maxEarlyRuns {
		n.earlyRuns.Add(-1)
		return nil
	}
	// The connection compares the head that was read here with the one that net/http
	// reads, and forwarding a request removes headers from it. It therefore needs its
	// own copy.
	own := *r
	own.Header = r.Header.Clone()
	req := n.earlyRequest(&own)
	if req == nil {
		n.earlyRuns.Add(-1)
		return nil
	}
	ctx, cancel := context.WithCancel(ctx)
	run := &earlyRun{node: n, req: req, cancel: cancel, begun: n.now(), done: make(chan struct{})}
	n.active.Add(1)
	n.metrics.Begun.Inc(1)
	go run.run(ctx)
	return run
}

// earlyRequest reads a request without a body. It returns nil if the request has to
// wait for its turn.
func (n *Node) earlyRequest(r *http.Request) *request {
	if !n.usesDialect() && n.headLimitOf(EdgeListener).check(r) != nil || n.limitCaller(nil, r) != nil {
		return nil
	}
	var req *request
	if n.usesDialect() {
		var refused *answer
		if req, refused = n.routedRequest(nil, r); refused != nil {
			return nil
		}
		if n.settings.Dialect.ParentOf(req.call.RequestID) != "" {
			return nil
		}
	} else {
		if r.URL.Path == KeyPath || findNodeHeader(r.Header) != "" {
			return nil
		}
		var err error
		if req, err = n.rootRequest(nil, r, n.settings.Service, false); err != nil {
			return nil
		}
	}
	if req.profile.Unrepeatable || !req.idempotent || req.key != "" {
		return nil
	}
	return req
}

func (run *earlyRun) run(ctx context.Context) {
	defer close(run.done)
	defer func() {
		if recover() == nil {
			return
		}
		n := run.node
		n.metrics.Panics.Inc(1)
		n.log.Emit(observe.PanicRecovered, observe.Str("listener", "ahead"), observe.Str("stack", string(debug.Stack())))
		run.answer = n.refuse(call.Unknown, call.ReasonLost, 0)
		n.finishRefusal(run.answer, run.req)
	}()
	run.answer = run.node.answerRoot(ctx, run.req)
}

// end releases the run once its answer has been written or is no longer needed.
func (run *earlyRun) end() {
	run.endOnce.Do(func() {
		run.cancel()
		run.answer.close()
		run.node.earlyRuns.Add(-1)
		run.node.active.Add(-1)
	})
}

// Drop implements pipelining.Answer.
func (run *earlyRun) Drop() {
	run.cancel()
	go func() {
		<-run.done
		run.end()
	}()
}

// serveEarlyRun writes the answer of a run when its turn on the connection has come.
func (n *Node) serveEarlyRun(w http.ResponseWriter, r *http.Request, run *earlyRun) {
	turn := n.now()
	stop := context.AfterFunc(r.Context(), run.cancel)
	defer stop()
	trackedOf(r).OnInterrupt(run.cancel)
	<-run.done
	trackedOf(r).OnInterrupt(nil)
	defer run.end()
	trackedOf(r).SetID(run.req.call.RequestID)
	n.logLateTurn(run, turn)
	n.writeRoot(w, r, run.req, run.answer)
}

// lateTurnShare is the fraction of the time until its deadline from which a request's wait
// for earlier answers is logged: an answer that was ready in time can be late because of it.
const lateTurnShare = 0.5

// logLateTurn logs a request that was queued for long behind others on its connection.
func (n *Node) logLateTurn(run *earlyRun, turn time.Time) {
	waited := turn.Sub(run.begun)
	if float64(waited) < lateTurnShare*float64(run.req.deadline.Sub(run.begun)) {
		return
	}
	n.log.Emit(observe.TurnAwaited, observe.Str("request", call.ShortID(run.req.call.RequestID)),
		observe.Dur("behind", waited), observe.Dur("took", n.now().Sub(run.begun)))
}
