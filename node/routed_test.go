package node

import (
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/call"
	"pollengauge.dev/config"
	"pollengauge.dev/incarnation"
)

// A node gets SIGTERM while its upstream continues to announce itself. If the
// announcements cancelled the drain, the other nodes would continue to send work here,
// and that work would be lost when the grace period ends.
func TestAnnouncementsDoNotCancelTheDrain(t *testing.T) {
	inFleet(t, func(f *fleet) {
		slow := func(w http.ResponseWriter, r *http.Request, c func(string, string, string) (*http.Response, error)) {
			time.Sleep(300 * time.Millisecond)
			echo(w, r, c)
		}
		front := f.addRouted("front", "front", 10, echo)
		leaving := f.addRouted("leaving", "desk", 100, slow)
		f.addRouted("staying", "desk", 100, slow)
		f.announceAgain(leaving)
		f.settle()
		ended := make(chan error, 1)
		go func() { ended <- leaving.Drain(f.t.Context()) }()
		answers := make(chan reply, 1000)
		const sent = 140
		for i := range sent {
			go func() { answers <- f.askRouted(front, "/file/x", "id-"+strconv.Itoa(i)) }()
			time.Sleep(50 * time.Millisecond)
		}
		for range sent {
			got := <-answers
			f.c.Check(got.err, qt.IsNil)
			f.c.Check(got.status, qt.Equals, http.StatusOK, qt.Commentf("%s", got.reason))
		}
		f.c.Check(<-ended, qt.IsNil)
	})
}

// Callers on a VM poll their node once a second and so learn that it shuts down.
// Requests that they send before that must be served, and every accepted request must
// be answered.
func TestDrainServesCallersUntilTheyNotice(t *testing.T) {
	inFleet(t, func(f *fleet) {
		leaving := f.addRouted("leaving", "front", 10, echo)
		f.addRouted("staying", "desk", 100, echo)
		f.settle()
		f.c.Check(leaving.Ready(), qt.IsTrue)
		ended := make(chan error, 1)
		go func() { ended <- leaving.Drain(f.t.Context()) }()
		for i := range 24 {
			time.Sleep(100 * time.Millisecond)
			f.c.Check(leaving.Ready(), qt.IsFalse)
			got := f.askRouted(leaving, "/browse/x", "id-"+strconv.Itoa(i))
			f.c.Check(got.status, qt.Equals, http.StatusOK, qt.Commentf("%s %v", got.reason, got.err))
		}
		f.c.Check(<-ended, qt.IsNil)
	})
}

// A route is split nine to one. Over 3000 draws each service gets its share, including
// one whose upstreams refuse.
func TestSharesFollowTheWeights(t *testing.T) {
	c := qt.New(t)
	rnd := rand.New(rand.NewPCG(3, 3))
	shares := []config.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c", Weight: 0}}
	counts := map[string]int{}
	for range 3000 {
		counts[pickShare(shares, rnd.Uint64())]++
	}
	c.Check(counts["a"] > 2640 && counts["a"] < 2760, qt.IsTrue, qt.Commentf("%v", counts))
	c.Check(counts["c"], qt.Equals, 0)
}

// Operators set the last weight of a route above 0 to 0, and the platform accepts
// that. Callers learn that nothing ran and when to retry. A draw among no shares must
// neither panic nor pick a service with weight 0.
func TestRouteWithoutWeightPicksNoService(t *testing.T) {
	c := qt.New(t)
	c.Check(pickShare(nil, 7), qt.Equals, "")
	c.Check(pickShare([]config.Share{{Service: "a"}, {Service: "b"}}, 7), qt.Equals, "")
}

// An announcement of an incarnation that has crashed arrives after that of its
// successor. If it were taken for the current one, each call would name an incarnation
// that no longer exists, and would be refused.
func TestLateAnnouncementsAreIgnored(t *testing.T) {
	inFleet(t, func(f *fleet) {
		n := f.addRouted("vm", "desk", 10, echo)
		a := n.upstream.Load().Announcement
		announce := func(instance string, sequence uint64, draining bool) {
			a.Instance, a.Sequence, a.Draining = instance, sequence, draining
			f.c.Assert(n.Announce(a), qt.IsNil)
		}
		announce("old", 4, false)
		announce("old", 5, true)
		f.c.Check(n.draining.Load(), qt.IsTrue)
		announce("new", 1, false)
		f.c.Check(n.draining.Load(), qt.IsFalse)
		announce("old", 3, true)
		f.c.Check(n.upstream.Load().Instance, qt.Equals, "new")
		_ = n.Leaving("old", 0)
		f.c.Check(n.draining.Load(), qt.IsFalse)
		announce("old", 9, false)
		f.c.Check(n.upstream.Load().Instance, qt.Equals, "new")
		_ = n.Leaving("new", 0)
		f.c.Check(n.draining.Load(), qt.IsTrue)
	})
}

// An upstream restarts under the same name, and its sequence numbers start again. When
// it was identified by its name alone, its announcements were taken for late ones of
// the earlier incarnation, or for those of an upstream that had left, and it received
// no more calls. The state of the earlier incarnation has to be dropped, and late
// announcements of it must change nothing.
func TestUpstreamsComeBackUnderTheirName(t *testing.T) {
	inFleet(t, func(f *fleet) {
		n := f.addRouted("vm", "desk", 10, echo)
		a := n.upstream.Load().Announcement
		a.Instance = "i"
		announce := func(born int64, sequence uint64, draining bool) {
			a.Born, a.Sequence, a.Draining = born, sequence, draining
			f.c.Assert(n.Announce(a), qt.IsNil)
		}
		announce(1000, 40, false)
		first := n.upstream.Load().transport
		announce(1000, 41, true)
		_ = n.Leaving("i", 1000)
		f.c.Check(n.draining.Load(), qt.IsTrue)
		announce(9000, 1, false)
		f.c.Check(n.draining.Load(), qt.IsFalse)
		f.c.Check(n.upstream.Load().Born, qt.Equals, int64(9000))
		f.c.Check(n.upstream.Load().transport != first, qt.IsTrue, qt.Commentf("connections of the earlier incarnation are still used"))
		_ = n.Leaving("i", 1000)
		announce(1000, 50, true)
		f.c.Check(n.draining.Load(), qt.IsFalse, qt.Commentf("late announcement of the earlier incarnation"))
		f.c.Check(n.upstream.Load().Born, qt.Equals, int64(9000))
		announce(9000, 1, true)
		f.c.Check(n.draining.Load(), qt.IsFalse, qt.Commentf("a repeated announcement"))
		time.Sleep(incarnation.ReorderWindow)
		announce(5000, 1, false)
		f.c.Check(n.upstream.Load().Born, qt.Equals, int64(5000), qt.Commentf("the clock was set back"))
	})
}

// The upstream restarts, and the new incarnation refuses requests that are meant for
// the old one. It gets requests again from its first announcement on. Its answer alone must not
// be enough: a server of another service may have been given the address.
func TestRestartedUpstreamIsServedOnceAnnounced(t *testing.T) {
	inFleet(t, func(f *fleet) {
		front := f.addRouted("front", "front", 10, echo)
		runs := 0
		desk := f.addRouted("desk", "desk", 10, func(w http.ResponseWriter, r *http.Request, c func(string, string, string) (*http.Response, error)) {
			if r.Header.Get("X-Instance") != "two" {
				w.Header().Set("X-Echo", r.Header.Get("X-Id"))
				w.Header().Set("X-Instance", "two")
				w.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
			runs++
			echo(w, r, c)
		})
		a := desk.upstream.Load().Announcement
		a.Instance, a.Sequence = "one", 1
		f.c.Assert(desk.Announce(a), qt.IsNil)
		f.settle()
		f.c.Check(f.askRouted(front, "/file/x", "first").status, qt.Equals, http.StatusServiceUnavailable)
		f.c.Check(f.askRouted(front, "/file/x", "second").status, qt.Equals, http.StatusServiceUnavailable)
		f.c.Check(runs, qt.Equals, 0)
		a.Instance = "two"
		f.c.Assert(desk.Announce(a), qt.IsNil)
		f.c.Check(f.askRouted(desk, "/file/x", "third").status, qt.Equals, http.StatusOK)
		time.Sleep(time.Second)
		f.c.Check(f.askRouted(front, "/file/x", "fourth").status, qt.Equals, http.StatusOK)
		f.c.Check(runs, qt.Equals, 2)
	})
}

// An upstream's answer breaks off, or belongs to another request. The caller of a
// repeatable request gets a complete answer from another upstream. The caller of an
// unrepeatable request learns that its fate is unknown.
func TestBrokenAnswersReachNoCaller(t *testing.T) {
	inFleet(t, func(f *fleet) {
		front := f.addRouted("front", "front", 10, echo)
		f.addRouted("bad", "desk", 10, func(w http.ResponseWriter, r *http.Request, _ func(string, string, string) (*http.Response, error)) {
			if strings.HasPrefix(r.Header.Get("X-Id"), "other") {
				w.Header().Set("X-Echo", "somebody else's")
				_, _ = io.WriteString(w, "not yours")
				return
			}
			w.Header().Set("X-Echo", r.Header.Get("X-Id"))
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "half")
			panic(http.ErrAbortHandler)
		})
		f.addRouted("good", "desk", 10, echo)
		f.settle()
		for range 200 { // earn retry budget
			f.askRouted(front, "/file/x", "earn")
		}
		for i := range 20 {
			for _, kind := range []string{"other", "half"} {
				id := kind + strconv.Itoa(i)
				got := f.askRouted(front, "/browse/x", id)
				f.c.Check(got.status == http.StatusOK && got.body != "answer to "+id, qt.IsFalse, qt.Commentf("%d %q", got.status, got.body))
				got = f.askRouted(front, "/file/x", id)
				f.c.Check(got.status == http.StatusOK && got.body == "answer to "+id || got.status == http.StatusBadGateway, qt.IsTrue, qt.Commentf("%d %q", got.status, got.body))
			}
		}
	})
}

// A zone's only node of a service is restarted while its upstream keeps running. A few
// seconds later it must receive its zone's requests again. Otherwise the other zones
// carry all of them while the next node restarts.
func TestRestartedNodeSoonServesItsZoneAgain(t *testing.T) {
	inFleet(t, func(f *fleet) {
		zone := func(name string) func(*Settings) { return func(s *Settings) { s.Zone = name } }
		front := f.addRouted("front", "front", 10, echo, zone("zone-a"))
		here := f.addRouted("here", "desk", 100, echo, zone("zone-a"))
		f.addRouted("there", "desk", 100, echo, zone("zone-b"))
		f.settle()
		f.askRouted(front, "/browse/x", "first")
		here.Close()
		delete(f.nodes, "here")
		atHome := 0
		f.addRouted("again", "desk", 100, func(w http.ResponseWriter, r *http.Request, c func(string, string, string) (*http.Response, error)) {
			atHome++
			echo(w, r, c)
		}, zone("zone-a"))
		ask := func(n int) {
			for i := range n {
				f.c.Check(f.askRouted(front, "/browse/x", strconv.Itoa(i)).status, qt.Equals, http.StatusOK)
				time.Sleep(10 * time.Millisecond)
			}
		}
		ask(400)
		atHome = 0
		ask(200)
		f.c.Check(atHome > 180, qt.IsTrue, qt.Commentf("%d of 200", atHome))
	})
}

// A customers' route may have the same rank as the routes of an upstream's calls, and
// may be repeatable like them. A request on it whose id names no parent was once taken
// for such a call: it was admitted under any load, and requests of a higher rank were
// refused in its place. It has to be shed like any customer's request.
func TestRequestsWithoutAParentAreCustomers(t *testing.T) {
	inFleet(t, func(f *fleet) {
		front := f.addRouted("front", "desk", 10, echo)
		profile := &config.Profile{Name: "search", Internal: true, Priority: 15}
		request := &request{profile: profile, call: call.Context{RequestID: "r", Profile: "search"}}
		for range 100 {
			front.shedder.ObservePressure("search", 0.97, front.now())
			front.shedder.Admit("search", call.MakeLevel(15, 200), front.now())
		}
		f.c.Check(front.parentOf(request), qt.IsNil)
		f.c.Check(request.call.Depth, qt.Equals, 0)
		f.c.Check(front.refuseOverloaded(request), qt.IsNotNil)
		f.c.Check(front.graph.CallKinds("search"), qt.HasLen, 0)
	})
}

// The upstream makes a call for a request that it runs. The call has the rank of that
// request, so that a filing's lookup ranks before a browser's, and it ends with the
// request.
func TestCallsBelongToTheirRequest(t *testing.T) {
	inFleet(t, func(f *fleet) {
		front := f.addRouted("front", "desk", 10, echo)
		parent := &visit{deadline: front.now().Add(time.Second), call: call.Context{Level: call.MakeLevel(15, 7), Depth: 2}}
		front.visits.addAs(parent, "p")
		req := &request{deadline: front.now().Add(time.Hour), call: call.Context{RequestID: "p/c", Level: call.MakeLevel(13, 9)}}
		f.c.Check(front.parentOf(req), qt.Equals, parent)
		f.c.Check(req.call.Level, qt.Equals, call.MakeLevel(15, 7))
		f.c.Check(req.call.Depth, qt.Equals, 3)
		f.c.Check(req.deadline, qt.Equals, parent.deadline)
		front.visits.remove(parent)
		orphan := &request{call: call.Context{RequestID: "p/d", Level: call.MakeLevel(13, 9)}}
		f.c.Check(front.parentOf(orphan), qt.IsNil)
		f.c.Check(orphan.call.Depth, qt.Equals, 1)
	})
}

// Operators name a route by a path with escaped bytes, and its callers send the same
// bytes. If the decoded path were compared, no route would match, and callers would be
// told so as a final answer.
func TestPathsAreComparedAsReceived(t *testing.T) {
	c := qt.New(t)
	for _, path := range []string{"/a%20b/x", "/a%2Fb/x", "/a+b/x", "/a;b/x", "/%C3%A9/x"} {
		r := httptest.NewRequest(http.MethodGet, "http://desk.example"+path+"?q=1", nil)
		c.Check(rawPath(r), qt.Equals, path)
	}
}
