package node

import (
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Capacity is bounded per node and in total, and is available again after its release.
func TestPeerCapacityIsBounded(t *testing.T) {
	c := qt.New(t)
	limiter := newPeerLimiter(2, 3)
	c.Check(limiter.acquire("a"), qt.IsTrue)
	c.Check(limiter.acquire("a"), qt.IsTrue)
	c.Check(limiter.acquire("a"), qt.IsFalse)
	c.Check(limiter.acquire("b"), qt.IsTrue)
	c.Check(limiter.acquire("c"), qt.IsFalse)
	limiter.release("a")
	c.Check(limiter.acquire("c"), qt.IsTrue)
	limiter.release("a")
	limiter.release("b")
	limiter.release("c")
	c.Check(limiter.inUse, qt.Equals, 0)
	c.Check(limiter.byAddr, qt.HasLen, 0)
}

// An upstream is slow, and it gets more requests than this node may have in flight to
// its VM. The excess requests must go to another upstream at once or be refused as not
// run. If they waited for a connection, they would be answered too late, and nothing
// would show the cause.
func TestCallsDoNotWaitForAConnection(t *testing.T) {
	inFleet(t, func(f *fleet) {
		const work = time.Second
		front := f.addRouted("front", "front", 10, echo, func(s *Settings) { s.PeerConns = 2 })
		slow := func(w http.ResponseWriter, r *http.Request, c func(string, string, string) (*http.Response, error)) {
			time.Sleep(work)
			echo(w, r, c)
		}
		f.addRouted("one", "desk", 100, slow)
		f.settle()
		ask := func(n int) (served, refused int) {
			var mu sync.Mutex
			var pending sync.WaitGroup
			for i := range n {
				pending.Go(func() {
					start := time.Now()
					got := f.askRouted(front, "/browse/x", strconv.Itoa(i))
					took := time.Since(start)
					mu.Lock()
					defer mu.Unlock()
					if got.status == http.StatusOK {
						served++
						f.c.Check(took < work+work/2, qt.IsTrue, qt.Commentf("served after %s", took))
						return
					}
					refused++
					f.c.Check(got.status, qt.Equals, http.StatusServiceUnavailable)
					f.c.Check(took < work/10, qt.IsTrue, qt.Commentf("refused after %s", took))
				})
			}
			pending.Wait()
			return served, refused
		}
		served, refused := ask(6)
		f.c.Check(served, qt.Equals, 2)
		f.c.Check(refused, qt.Equals, 4)
		f.addRouted("two", "desk", 100, slow)
		f.settle()
		served, _ = ask(4)
		f.c.Check(served, qt.Equals, 4)
	})
}
