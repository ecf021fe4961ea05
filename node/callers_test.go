package node

import (
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/call"
)

func crashAll(http.ResponseWriter, *http.Request, func(string, string, string) (*http.Response, error)) {
	panic(http.ErrAbortHandler)
}

// A caller's request fails and it sends the request again, five times, as impatient
// clients do. The first may use the chain's retry credit of two. Its repeats are
// recognized by their idempotency key or request id and get no credit, or each of
// them would multiply downstream. Repeats that carry neither can't be recognized.
func TestCallerRetriesGetNoCredit(t *testing.T) {
	const asked, credit = 6, 2
	cases := []struct {
		name, method string
		header       []string
		runs         int
	}{
		{"request id", http.MethodGet, []string{"X-Request-Id", "r1"}, asked + credit},
		{"key", http.MethodPut, []string{"Idempotency-Key", "k1"}, asked + credit},
		{"key with other request ids", http.MethodPut, []string{"Idempotency-Key", "k1", "X-Request-Id", ""}, asked + credit},
		{"nothing", http.MethodGet, nil, asked * (1 + credit)},
		{"a request id that is none", http.MethodGet, []string{"X-Request-Id", "a b"}, asked * (1 + credit)},
	}
	for _, tc := range cases {
		inFleet(t, func(f *fleet) {
			f.apply(filingProfiles)
			n := f.add("a", "portal", 10, crashAll)
			f.add("b", "portal", 10, crashAll)
			f.add("c", "portal", 10, crashAll)
			f.settle()
			for range 1000 {
				n.budget.Load().OnFirst(time.Now()) // so that only the credit limits retries
			}
			for i := range asked {
				header := append([]string{"X-Operation", "op"}, tc.header...)
				if last := len(header) - 1; header[last] == "" {
					header[last] = "r" + strconv.Itoa(i)
				}
				f.ask(n, tc.method, "/x", header...)
			}
			f.c.Check(f.runs.of("portal", "op"), qt.Equals, tc.runs, qt.Commentf(tc.name))
		})
	}
}

// Guards against a caller whose first try was refused before any attempt, and whose retry is
// then treated worse than other callers' first tries.
func TestRetryAfterARefusalKeepsItsCredit(t *testing.T) {
	inFleet(t, func(f *fleet) {
		const credit = 2
		f.apply(filingProfiles)
		n := f.add("a", "portal", 10, crashAll)
		f.add("b", "portal", 10, crashAll)
		f.add("c", "portal", 10, crashAll)
		f.settle()
		for range 1000 {
			n.budget.Load().OnFirst(time.Now()) // so that only the credit limits retries
		}
		header := []string{"X-Operation", "op", "X-Request-Id", "r1"}
		profile := n.config.Current().Match("portal", http.MethodGet, "/x").Name
		for range 1000 {
			n.feedback.Observe(profile, call.MaxLevel, n.now())
		}
		f.c.Assert(f.ask(n, http.MethodGet, "/x", header...).status, qt.Equals, http.StatusServiceUnavailable)
		f.c.Assert(f.runs.of("portal", "op"), qt.Equals, 0)
		time.Sleep(time.Minute / 2)
		f.ask(n, http.MethodGet, "/x", header...)
		f.c.Check(f.runs.of("portal", "op"), qt.Equals, 1+credit, qt.Commentf("the retry of the refused request"))
		f.ask(n, http.MethodGet, "/x", header...)
		f.c.Check(f.runs.of("portal", "op"), qt.Equals, 1+credit+1, qt.Commentf("one more, whose credit is used"))
	})
}

// A thousand callers arrive within a second at a service that takes a few, and each
// retries when it was told to. If the hints were equal, the callers would return as
// one burst and be refused together again.
func TestRetryHintsSpreadRefusedCallers(t *testing.T) {
	inFleet(t, func(f *fleet) {
		f.apply(filingProfiles)
		n := f.add("a", "portal", 2, func(http.ResponseWriter, *http.Request, func(string, string, string) (*http.Response, error)) {
			time.Sleep(50 * time.Millisecond)
		})
		f.settle()
		const callers = 1000
		start := time.Now()
		var mu sync.Mutex
		var crowd sync.WaitGroup
		refused := 0
		byHeader, byMillis := make(map[int]int), make(map[int]int)
		for range callers {
			crowd.Go(func() {
				got := f.ask(n, http.MethodGet, "/x")
				mu.Lock()
				defer mu.Unlock()
				if got.outcome != "not-run" {
					return
				}
				refused++
				seconds, err := strconv.Atoi(got.header.Get("Retry-After"))
				f.c.Check(err, qt.IsNil)
				millis, err := strconv.Atoi(got.header.Get("Pollengauge-Retry-After-Ms"))
				f.c.Check(err, qt.IsNil)
				byHeader[int((time.Since(start)+time.Duration(seconds)*time.Second)/time.Second)]++
				byMillis[int((time.Since(start)+time.Duration(millis)*time.Millisecond)/time.Second)]++
			})
			time.Sleep(time.Millisecond)
		}
		crowd.Wait()
		f.c.Logf("%d of %d refused; busiest second after: %d by Retry-After over %d seconds, %d by milliseconds over %d",
			refused, callers, busiest(byHeader), len(byHeader), busiest(byMillis), len(byMillis))
		f.c.Check(refused > callers/2, qt.IsTrue)
		f.c.Check(busiest(byHeader) < refused/4, qt.IsTrue)
		f.c.Check(busiest(byMillis) < refused/4, qt.IsTrue)
	})
}

func busiest(bySecond map[int]int) (most int) {
	for _, n := range bySecond {
		most = max(most, n)
	}
	return most
}
