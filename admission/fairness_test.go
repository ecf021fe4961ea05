package admission

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pollengauge.dev/call"
)

// One customer retries a thousand times a second, while forty others send a few
// requests each and the level admits a third of all requests. Nearly all
// requests of the others must be admitted; only the retrying customer is
// limited.
func TestHardRetrierStarvesNobody(t *testing.T) {
	c := qt.New(t)
	k, err := NewRanker(RankerConfig{Seed: 1})
	c.Assert(err, qt.IsNil)
	const gentle, perSecond, hard, seconds = 40, 4, 1000, 5
	var ties []call.Tiebreak
	byCaller := map[string][]call.Tiebreak{}
	for i := range seconds * hard {
		callers := []string{"hard"}
		for g := range gentle {
			if i%(hard/perSecond) == g {
				callers = append(callers, fmt.Sprint("gentle", g))
			}
		}
		for _, caller := range callers {
			tie := k.Rank("status", caller, time.UnixMilli(int64(i)))
			byCaller[caller] = append(byCaller[caller], tie)
			ties = append(ties, tie)
		}
	}
	slices.Sort(ties)
	threshold := ties[len(ties)*2/3]
	admitted := func(caller string) (n int) {
		for _, tie := range byCaller[caller] {
			if tie >= threshold {
				n++
			}
		}
		return n
	}
	total := admitted("hard")
	for g := range gentle {
		n := admitted(fmt.Sprint("gentle", g))
		c.Assert(n, qt.Equals, seconds*perSecond)
		total += n
	}
	c.Assert(total < len(ties)*40/100, qt.IsTrue, qt.Commentf("%d of %d let in", total, len(ties)))
}

// A caller sends at a steady rate, and the level admits the same number of
// requests from every caller. The admitted requests must reach the downstream
// hop evenly: if they all came at the beginning of each second, they would
// queue there first, and the hop would idle later.
func TestRankIsEvenOverTime(t *testing.T) {
	c := qt.New(t)
	k, err := NewRanker(RankerConfig{Seed: 2})
	c.Assert(err, qt.IsNil)
	const perSecond, seconds, parts = 400, 20, 10
	// Tie-breaks from 48 on are the ranks 1 to 15 of 400: 27 in each tenth of a
	// second, summed over 18 s.
	var admitted [parts]int
	for i := range seconds * perSecond {
		at := time.Duration(i) * time.Second / perSecond
		if k.Rank("status", "steady", time.UnixMilli(0).Add(at)) >= 48 && at > 2*time.Second {
			admitted[at%time.Second*parts/time.Second]++
		}
	}
	for _, n := range admitted {
		c.Check(n >= 20 && n <= 34, qt.IsTrue, qt.Commentf("%v", admitted))
	}
}

// Three instances report different levels; then no response comes, because the
// root refuses everything. The root must follow the average of the three, admit
// probes meanwhile, and open again by itself, even if its process has run for
// weeks.
func TestFeedbackFollowsAndForgets(t *testing.T) {
	c := qt.New(t)
	f, err := NewFeedback(FeedbackConfig{})
	c.Assert(err, qt.IsNil)
	now := time.Unix(0, 0)
	for range 5 {
		ok, level := f.Admit("status", 0, now)
		c.Assert(ok, qt.IsTrue)
		c.Assert(level, qt.Equals, call.Level(0))
		for i := range 300 {
			now = now.Add(time.Millisecond)
			f.Observe("status", []call.Level{0, 600, 1200}[i%3], now)
		}
		ok, level = f.Admit("status", 750, now)
		c.Assert(ok, qt.IsTrue)
		c.Assert(level > 500 && level < 750, qt.IsTrue, qt.Commentf("level %v", level))
		passed := 0
		for range 1000 {
			if ok, _ = f.Admit("status", 100, now); ok {
				passed++
			}
		}
		c.Assert(passed, qt.Equals, 1000/DefaultFeedbackProbeEvery)
		ok, _ = f.Admit("other", 0, now)
		c.Assert(ok, qt.IsTrue)
		now = now.Add(DefaultFeedbackHold + DefaultFeedbackRelease)
		_, level = f.Admit("status", 0, now)
		c.Assert(level, qt.Equals, call.Level(0))
		now = now.Add(20 * 24 * time.Hour)
	}
}

// Two callers request the same page during an overload. Neither may get the
// other's response, whichever header the service uses to distinguish them, and
// responses that must not be reused are not stored.
func TestBrownoutKeepsCallersApart(t *testing.T) {
	c := qt.New(t)
	b, err := NewBrownout(BrownoutConfig{MaxBytes: 16 << 10, MaxEntries: 8})
	c.Assert(err, qt.IsNil)
	now := time.Unix(0, 0)
	key := func(caller string, header ...string) BrownoutKey {
		h := http.Header{"User-Agent": {fmt.Sprint(len(header))}}
		for i := 0; i < len(header); i += 2 {
			h.Add(header[i], header[i+1])
		}
		return BrownoutKey{Method: http.MethodGet, URL: "http://tracker/cases", Caller: caller, Header: h}
	}
	own := key("10.0.0.1", "X-Tenant", "anna")
	body := []byte("anna's cases")
	c.Assert(b.Put(own, Answer{Status: 200, Body: body}, now), qt.IsTrue)
	body[0] = 'X'
	a, age, ok := b.Get(key("10.0.0.1", "X-Tenant", "anna", "Traceparent", "00-1", call.HeaderRequest, "r2"), now.Add(time.Second))
	c.Assert(ok, qt.IsTrue)
	c.Assert(age, qt.Equals, time.Second)
	c.Assert(string(a.Body), qt.Equals, "anna's cases")
	for _, other := range []BrownoutKey{
		key("10.0.0.2", "X-Tenant", "anna"), key("10.0.0.1", "X-Tenant", "bela"), key("10.0.0.1"),
		key("10.0.0.1", "X-Tenant", "anna", "X-Tenant", "bela"), key("10.0.0.1", "X-Tenant", "anna", "X-User", "bela"),
	} {
		_, _, ok = b.Get(other, now)
		c.Assert(ok, qt.IsFalse, qt.Commentf("%v", other))
	}
	_, _, ok = b.Get(own, now.Add(DefaultBrownoutMaxAge+1))
	c.Assert(ok, qt.IsFalse)
	post := own
	post.Method = http.MethodPost
	c.Assert(b.Put(post, Answer{Status: 200}, now), qt.IsFalse)
	for _, a := range []Answer{
		{Status: 503},
		{Status: 200, Header: http.Header{"Set-Cookie": {"s=1"}}},
		{Status: 200, Header: http.Header{"Cache-Control": {"private, No-Store"}}},
		{Status: 200, Header: http.Header{"Vary": {"Accept, *"}}},
		{Status: 200, Body: make([]byte, 2<<10)},
	} {
		c.Assert(b.Put(own, a, now), qt.IsFalse, qt.Commentf("%v", a))
	}
	for i := range 100 {
		b.Put(key(fmt.Sprint(i)), Answer{Status: 200, Body: make([]byte, 900)}, now)
		b.Put(key("same"), Answer{Status: 200, Body: make([]byte, i)}, now)
	}
	entries, bytes := b.Size()
	c.Assert(entries, qt.Equals, 8)
	c.Assert(bytes > 7*900 && bytes < 8*1200, qt.IsTrue, qt.Commentf("%d bytes", bytes))
}
