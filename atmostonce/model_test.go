package atmostonce

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pollengauge.dev/call"
)

// TestMain fixes the seed of the state machine tests, so that failures are
// reproducible.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261202", "rapid.checks": "2000", "rapid.steps": "80", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// openRun is a run that its holder has not completed.
type openRun struct {
	run        *Run
	node       *modelNode
	dispatched bool
}

type modelNode struct {
	name  string
	table *Table
	clock *fakeClock
	// to is the successor of an unfinished hand-over.
	to *modelNode
	// paused nodes receive no messages, but may still dispatch the runs that
	// they have.
	paused bool
}

// cluster holds several nodes, the store, the messages in flight, and the
// oracle: how many times each key actually reached an upstream.
type cluster struct {
	store    *fakeStore
	nodes    []*modelNode
	runs     []*openRun
	links    []*link
	minted   []string
	executed map[string]int
	answers  map[string]string
	seed     byte
	window   bool // whether clocks may advance past the window
	nested   bool
	refused  int
	ran      int
}

func newCluster(rt *rapid.T, window bool) *cluster {
	w := &cluster{store: newFakeStore(), executed: map[string]int{}, answers: map[string]string{}, window: window}
	for range 3 {
		w.start(rt)
	}
	w.store.next = func() fault {
		w.interleave(rt, w.present, w.present, w.dispatch, w.end, w.handOver, w.handOver, w.cancel, w.sync)
		return rapid.SampledFrom([]fault{works, works, works, down, lostBefore, lostAfter, appliedLater}).Draw(rt, "store")
	}
	return w
}

// start adds a node whose clock is up to 40 minutes off.
func (w *cluster) start(rt *rapid.T) {
	w.seed++
	table, clock := testNode(w.seed, func(cfg *Config) {
		cfg.Store = w.store
		cfg.MaxEntries = 6
		cfg.ChunkBytes = 300
		cfg.MaxAnswerBytes, cfg.MaxTotalBytes = 200, 200*shardCount
		start := testStart.Add(time.Duration(rapid.IntRange(-40, 40).Draw(rt, "skew")) * time.Minute)
		read := cfg.Clock
		cfg.Clock = func() time.Time { return start.Add(read().Sub(testStart)) }
	})
	w.nodes = append(w.nodes, &modelNode{name: fmt.Sprint("n", w.seed), table: table, clock: clock})
}

// interleave runs some of the given steps while a store request or a message is
// in flight. Callers that have a message in flight pass no drain steps, because
// the sender holds the lock that serializes the drain of its table.
func (w *cluster) interleave(rt *rapid.T, steps ...func(*rapid.T)) {
	if w.nested || rapid.IntRange(0, 2).Draw(rt, "interleave") > 0 {
		return
	}
	w.nested = true
	defer func() { w.nested = false }()
	for range rapid.IntRange(1, 3).Draw(rt, "nested steps") {
		steps[rapid.IntRange(0, len(steps)-1).Draw(rt, "nested")](rt)
	}
}

func (w *cluster) node(rt *rapid.T) *modelNode { return rapid.SampledFrom(w.nodes).Draw(rt, "node") }

func (w *cluster) key(rt *rapid.T) string {
	keys := append([]string{}, w.minted...)
	if !w.window {
		keys = append(keys, "brought-1", "brought-2", "brought-3")
	}
	if len(keys) == 0 || rapid.IntRange(0, 4).Draw(rt, "new key") == 0 {
		key := w.node(rt).table.Mint().String()
		w.minted = append(w.minted, key)
		return key
	}
	return rapid.SampledFrom(keys).Draw(rt, "key")
}

// present sends a key to some node and follows it to the owner that the node
// names. Sometimes the sender's view of the owners is wrong and any node may
// receive the key.
func (w *cluster) present(rt *rapid.T) {
	key := w.key(rt)
	at := w.node(rt)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for range 3 {
		if at.paused {
			return
		}
		v, err := at.table.Begin(ctx, Presentation{Key: key, Durable: rapid.Bool().Draw(rt, "durable")})
		w.check(rt, key, err)
		switch {
		case err != nil:
			return
		case v.Kind == RunNow:
			w.runs = append(w.runs, &openRun{run: v.Run, node: at})
			return
		case v.Kind == Replay:
			if string(v.Answer.Body) != w.answers[key] {
				rt.Fatalf("%s: answer %q, want %q", key, v.Answer.Body, w.answers[key])
			}
			return
		}
		if at = w.ownerOf(rt, v.Owner); at == nil {
			return
		}
	}
}

func (w *cluster) ownerOf(rt *rapid.T, home Incarnation) *modelNode {
	if rapid.IntRange(0, 9).Draw(rt, "wrong view") == 0 {
		return w.node(rt)
	}
	for _, n := range w.nodes {
		if slices.Contains(n.table.OwnedIncarnations(), home) {
			return n
		}
	}
	return nil
}

// check compares an error with the oracle: not-run may be reported only for a
// key that no upstream received.
func (w *cluster) check(rt *rapid.T, key string, err error) {
	var refused *RefusedError
	if !errors.As(err, &refused) {
		return
	}
	w.refused++
	if refused.Outcome == call.NotRun && w.executed[key] > 0 {
		rt.Fatalf("%s: reported as not-run (%s), but it ran", key, refused.Reason)
	}
}

func (w *cluster) pick(rt *rapid.T) *openRun {
	if len(w.runs) == 0 {
		return nil
	}
	return rapid.SampledFrom(w.runs).Draw(rt, "run")
}

func (w *cluster) drop(r *openRun) {
	w.runs = slices.DeleteFunc(w.runs, func(o *openRun) bool { return o == r })
}

// dispatch dispatches the call of a claimed run.
func (w *cluster) dispatch(rt *rapid.T) {
	r := w.pick(rt)
	if r == nil {
		return
	}
	if i := slices.IndexFunc(w.runs, func(o *openRun) bool { return !o.dispatched }); r.dispatched && i >= 0 {
		r = w.runs[i]
	}
	if r.dispatched {
		return
	}
	key := r.run.Key()
	if err := r.run.Dispatched(); err != nil {
		w.check(rt, key, err)
		w.drop(r)
		return
	}
	r.dispatched = true
	w.ran++
	w.executed[key]++
	if w.executed[key] > 1 {
		rt.Fatalf("%s ran %d times", key, w.executed[key])
	}
}

// end completes a run in one of the ways that its state allows.
func (w *cluster) end(rt *rapid.T) {
	r := w.pick(rt)
	if r == nil {
		return
	}
	key := r.run.Key()
	switch rapid.IntRange(0, 3).Draw(rt, "end") {
	case 0:
		if !r.dispatched {
			return
		}
		body := "answer of " + key
		if r.run.Done(Answer{Body: []byte(body)}) == nil {
			w.answers[key] = body
		}
	case 1:
		if !r.dispatched || r.run.Unknown(call.ReasonTimeout) == nil {
			return // the response may still arrive
		}
	case 2:
		if r.dispatched && rapid.Bool().Draw(rt, "not proved") {
			return
		}
		if r.dispatched {
			// The upstream refused the connection. This proves that the call
			// didn't run, so it counts as not sent.
			if r.run.NotRun() == nil {
				w.executed[key]--
			}
			break
		}
		if r.run.NotRun() == nil && w.executed[key] > 0 {
			rt.Fatalf("%s: released before dispatch, but it ran", key)
		}
	case 3:
		r.run.Close()
	}
	w.drop(r)
}

// handOver drains a node to another one over a link that loses messages.
func (w *cluster) handOver(rt *rapid.T) {
	from := w.node(rt)
	if from.to == nil || rapid.IntRange(0, 5).Draw(rt, "other successor") == 0 {
		from.to = w.node(rt)
	}
	if from.to == from || from.paused {
		from.to = nil
		return
	}
	from.table.Freeze()
	_ = from.table.HandOver(context.Background(), from.to.table.Incarnation(), w.link(rt, from.to))
}

func (w *cluster) link(rt *rapid.T, to *modelNode) *link {
	l := &link{to: to.table}
	l.fault = func() fault {
		w.interleave(rt, w.present, w.present, w.dispatch, w.end)
		if to.paused {
			return rapid.SampledFrom([]fault{lostBefore, appliedLater}).Draw(rt, "message to a paused node")
		}
		return rapid.SampledFrom([]fault{works, works, works, works, lostBefore, lostAfter, appliedLater}).Draw(rt, "message")
	}
	w.links = append(w.links, l)
	return l
}

func (w *cluster) cancel(rt *rapid.T) {
	n := w.node(rt)
	if n.to == nil || n.paused {
		_ = n.table.Thaw()
		return
	}
	if n.table.Cancel(context.Background(), w.link(rt, n.to)) == nil {
		n.to = nil
	}
}

func (w *cluster) sync(rt *rapid.T) { w.node(rt).table.Sync(context.Background(), 2) }

func (w *cluster) renew(rt *rapid.T) {
	n := w.node(rt)
	w.seed++
	if n.table.RenewIncarnation(NewIncarnation(testRandom(w.seed))) == nil {
		n.to = nil
	}
}

// crash removes a node with all its state and starts another one in its place.
func (w *cluster) crash(rt *rapid.T) {
	n := w.node(rt)
	w.runs = slices.DeleteFunc(w.runs, func(r *openRun) bool { return r.node == n })
	w.nodes = slices.DeleteFunc(w.nodes, func(o *modelNode) bool { return o == n })
	for _, o := range w.nodes {
		if o.to == n {
			o.to = nil
		}
	}
	w.start(rt)
}

// advance moves the clock of one node, sometimes backward.
func (w *cluster) advance(rt *rapid.T) {
	n := w.node(rt)
	limit := 8
	if w.window {
		limit = 30 * 60
	}
	n.clock.advance(time.Duration(rapid.IntRange(-limit/2, limit).Draw(rt, "minutes")) * time.Minute)
	n.table.Sweep()
}

func (w *cluster) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"present":    w.present,
		"present 2":  w.present,
		"present 3":  w.present,
		"dispatch":   w.dispatch,
		"dispatch 2": w.dispatch,
		"end":        w.end,
		"hand over": func(rt *rapid.T) {
			if rapid.IntRange(0, 2).Draw(rt, "drain") == 0 {
				w.handOver(rt)
			}
		},
		"cancel":  w.cancel,
		"renew":   w.renew,
		"advance": w.advance,
		"crash": func(rt *rapid.T) {
			if rapid.IntRange(0, 4).Draw(rt, "crash") == 0 {
				w.crash(rt)
			}
		},
		"pause": func(rt *rapid.T) {
			n := w.node(rt)
			n.paused = !n.paused && rapid.IntRange(0, 2).Draw(rt, "pause") == 0
		},
		"sync":       w.sync,
		"late store": func(*rapid.T) { w.store.flush() },
		"late message": func(rt *rapid.T) {
			if len(w.links) > 0 {
				rapid.SampledFrom(w.links).Draw(rt, "link").flush()
			}
		},
	}
}

// Clients present keys to any node, some of them twice at the same time.
// Meanwhile nodes drain to each other, crash, are paused and resumed, and lose
// messages and responses of the store, and their clocks differ and step back.
// No key may reach an upstream twice, no key may be reported as not-run after
// it ran, and a replayed answer must be the one of its key.
func TestAtMostOnceUnderFaults(t *testing.T) {
	for name, window := range map[string]bool{"inside the window": false, "past the window": true} {
		t.Run(name, func(t *testing.T) {
			var ran, refused, replayed int
			rapid.Check(t, func(rt *rapid.T) {
				w := newCluster(rt, window)
				rt.Repeat(w.actions())
				ran += w.ran
				refused += w.refused
				replayed += len(w.answers)
			})
			t.Logf("%d calls ran, %d presentations refused, %d answers stored", ran, refused, replayed)
		})
	}
}
