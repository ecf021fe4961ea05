package node

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/atmostonce"
	"pollengauge.dev/objects"
)

// slowReads is a platform that delays its responses to reads of claims.
type slowReads struct {
	objects.Store
	delay atomic.Int64
}

func (s *slowReads) Get(ctx context.Context, kind, name string) (objects.Object, error) {
	o, err := s.Store.Get(ctx, kind, name)
	if kind == claimKind {
		time.Sleep(time.Duration(s.delay.Load()))
	}
	return o, err
}

// A caller files at node a with its own key and then files at node b as well. While b
// waits for the slow platform to report the owner of the key, a drains and hands the
// finished filing over to b. The platform then names an owner whose keys b has taken
// over. The caller must get the answer of the single filing. When b dropped the
// inherited fate on arrival, it filed a second time.
func TestHandOverDuringAnInquiryFilesOnce(t *testing.T) {
	inFleet(t, func(f *fleet) {
		store := &slowReads{Store: f.store}
		f.store = store
		f.apply(filingProfiles)
		a := f.add("a", "filing", 10, answerOK)
		b := f.add("b", "filing", 10, answerOK)
		f.settle()
		f.c.Check(f.file(a, "my-own-key").outcome, qt.Equals, "complete")
		store.delay.Store(int64(4 * time.Second))
		second := make(chan reply, 1)
		go func() { second <- f.file(b, "my-own-key") }()
		time.Sleep(100 * time.Millisecond)
		f.c.Assert(a.Drain(f.t.Context()), qt.IsNil)
		delete(f.nodes, "a")
		got := <-second
		f.c.Check(got.status, qt.Equals, http.StatusOK)
		f.c.Check(got.outcome, qt.Equals, "complete")
		f.c.Check(got.body, qt.Equals, "answer to op")
		f.c.Check(f.runs.of("filing", "op"), qt.Equals, 1)
	})
}

// lateCommit is a successor that receives the commit with a delay.
type lateCommit struct{ *successor }

func (s *lateCommit) Commit(ctx context.Context, request atmostonce.CommitRequest) error {
	time.Sleep(500 * time.Millisecond)
	return s.successor.Commit(ctx, request)
}

// A node has sent its commit, which is still on its way, and forwards a call to its
// successor. The successor does not know yet that it is the owner and forwards the call
// back, and so on until the limit on such hops is reached, and the fate of the key is
// reported as lost. The call must wait for the commit instead.
func TestCallOvertakesTheCommit(t *testing.T) {
	inFleet(t, func(f *fleet) {
		f.apply(filingProfiles)
		a := f.add("a", "filing", 10, answerOK)
		b := f.add("b", "filing", 10, answerOK)
		f.settle()
		key := f.mintAt(a)
		handed := make(chan error, 1)
		go func() {
			to := &lateCommit{&successor{node: a, addr: b.Addr(PeerListener)}}
			handed <- a.keys.HandOver(f.t.Context(), atmostonce.Incarnation(b.ID()), to)
		}()
		began := time.Now()
		time.Sleep(100 * time.Millisecond)
		for _, n := range []*Node{b, a} {
			got := f.file(n, key)
			f.c.Check(got.outcome, qt.Equals, "complete", qt.Commentf(got.reason))
			f.c.Check(got.body, qt.Equals, "answer to op")
		}
		f.c.Check(time.Since(began) < ownerWait, qt.IsTrue, qt.Commentf("the calls must run as soon as the commit has arrived"))
		f.c.Check(<-handed, qt.IsNil)
		f.c.Check(f.runs.of("filing", "op"), qt.Equals, 1)
	})
}
