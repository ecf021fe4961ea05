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

// maxBegun bounds the requests of all callers that were begun before their turn
// and not answered yet. Each one holds a goroutine, its head and a connection to
// another node, some 40 KiB in all; answers stay with the node that they come
// from until their turn.
const maxBegun = 256

// readAhead returns a listener whose connections begin requests before their
// turn.
func (n *Node) readAhead(l net.Listener) net.Listener {
	return &aheadListener{Listener: l, begin: n.beginAhead}
}

type aheadListener struct {
	net.Listener
	begin pipelining.Begin
}

// Accept implements net.Listener.
func (l *aheadListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return pipelining.New(conn, l.begin), nil
}

// connKey is the key of the connection in a request's context.
type connKey struct{}

func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// connOf returns the connection of a request of a caller, nil for others.
func connOf(r *http.Request) *pipelining.Conn {
	conn, _ := r.Context().Value(connKey{}).(*pipelining.Conn)
	return conn
}

// turnOf takes the run of a request that was begun before its turn, nil for others.
func turnOf(r *http.Request) *begunRun {
	conn := connOf(r)
	if conn == nil {
		return nil
	}
	run, _ := conn.Take().(*begunRun)
	return run
}

// begunRun is the run of a request that was begun before its turn. Its time
// counts from its arrival.
type begunRun struct {
	node   *Node
	req    *request
	cancel context.CancelFunc
	begun  time.Time
	// done is closed when answer is set.
	done    chan struct{}
	answer  *answer
	endOnce sync.Once
}

// beginAhead begins a request that stands behind another one on its connection.
// It returns nil for one that has to wait for its turn: what may not run twice,
// what the node would refuse, and a call of the upstream here, whose run keeps
// its account by the handler.
func (n *Node) beginAhead(ctx context.Context, r *http.Request) pipelining.Answer {
	if n.ending.Load() || n.begun.Add(1) > maxBegun {
		n.begun.Add(-1)
		return nil
	}
	// The connection compares the head that was read here with the one that net/http
	// reads, and headers are taken out of a request that is passed on.
	own := *r
	own.Header = r.Header.Clone()
	req := n.aheadRequest(&own)
	if req == nil {
		n.begun.Add(-1)
		return nil
	}
	ctx, cancel := context.WithCancel(ctx)
	run := &begunRun{node: n, req: req, cancel: cancel, begun: n.now(), done: make(chan struct{})}
	n.active.Add(1)
	n.metrics.Begun.Inc(1)
	go run.run(ctx)
	return run
}

// aheadRequest reads a request without a body, nil if it has to wait.
func (n *Node) aheadRequest(r *http.Request) *request {
	if n.headLimitOf(EdgeListener).check(r) != nil || n.limitCaller(nil, r) != nil {
		return nil
	}
	var req *request
	if n.spoken() {
		var refused *answer
		if req, refused = n.routedRequest(nil, r); refused != nil {
			return nil
		}
		if n.settings.Dialect.ParentOf(req.call.RequestID) != "" {
			return nil
		}
	} else {
		if r.URL.Path == KeyPath || ownHeader(r.Header) != "" {
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

func (run *begunRun) run(ctx context.Context) {
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

// end lets go of the run once its answer is written or not wanted any more.
func (run *begunRun) end() {
	run.endOnce.Do(func() {
		run.cancel()
		run.answer.close()
		run.node.begun.Add(-1)
		run.node.active.Add(-1)
	})
}

// Drop implements pipelining.Answer.
func (run *begunRun) Drop() {
	run.cancel()
	go func() {
		<-run.done
		run.end()
	}()
}

// serveBegun writes the answer of a run whose turn has come.
func (n *Node) serveBegun(w http.ResponseWriter, r *http.Request, run *begunRun) {
	turn := n.now()
	stop := context.AfterFunc(r.Context(), run.cancel)
	defer stop()
	<-run.done
	defer run.end()
	n.noteTurn(run, turn)
	n.writeRoot(w, run.req, run.answer)
}

// lateTurnShare is the part of a target from which a wait for the answers before
// is told: it can make an answer late that was ready in time.
const lateTurnShare = 0.5

// noteTurn tells of a request that stood long behind others on its connection.
func (n *Node) noteTurn(run *begunRun, turn time.Time) {
	behind := turn.Sub(run.begun)
	target := time.Duration(run.req.profile.Target)
	if target == 0 || float64(behind) < lateTurnShare*float64(target) {
		return
	}
	n.log.Emit(observe.TurnAwaited, observe.Str("request", call.KeptID(run.req.call.RequestID)),
		observe.Dur("behind", behind), observe.Dur("took", n.now().Sub(run.begun)))
}
