package node

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/call"
	"pollengauge.dev/config"
	"pollengauge.dev/customer"
	"pollengauge.dev/quota"
)

// limitedSet is routedSet with one customer that has a limit, and one without.
func limitedSet(c *qt.C, version uint64, rate, burst float64) config.Set {
	set, err := config.Parse([]byte(routedSet), config.YAML)
	c.Assert(err, qt.IsNil)
	set.Version = version
	set.Customers = []customer.Customer{
		{Name: "hot", Rate: rate, Burst: burst, Keys: []customer.Digest{customer.DigestOf("hot")}},
		{Name: "free", Keys: []customer.Digest{customer.DigestOf("free")}},
	}
	return set
}

// arrivals records when requests arrived at upstreams.
type arrivals struct {
	mu sync.Mutex
	at []time.Time
}

func (a *arrivals) note(w http.ResponseWriter, r *http.Request, c func(string, string, string) (*http.Response, error)) {
	a.mu.Lock()
	a.at = append(a.at, time.Now())
	a.mu.Unlock()
	echo(w, r, c)
}

// most returns the most arrivals in any window.
func (a *arrivals) most(window time.Duration) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	first, most := 0, 0
	for i, last := range a.at {
		for last.Sub(a.at[first]) > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// quotaFleet starts nodes of one service, all with the limit in force.
func (f *fleet) quotaFleet(count int, seen *arrivals, rate, burst float64) []*Node {
	var nodes []*Node
	for i := range count {
		nodes = append(nodes, f.addRouted("vm"+strconv.Itoa(i), "desk", 100, seen.note))
	}
	f.settle()
	for _, n := range nodes {
		f.c.Assert(n.OfferConfig(limitedSet(f.c, 2, rate, burst)), qt.IsNil)
	}
	return nodes
}

// sendHot sends requests of the limited customer through all nodes at a constant rate,
// and counts the answers by status.
func (f *fleet) sendHot(nodes []*Node, perSecond int, during time.Duration) map[int]int {
	var mu sync.Mutex
	counts := map[int]int{}
	var running sync.WaitGroup
	pause := time.Second / time.Duration(perSecond)
	for i := range int(during / pause) {
		running.Go(func() {
			got := f.askRouted(nodes[i%len(nodes)], "/browse/x", "hot"+strconv.Itoa(i), "X-Key", "hot")
			mu.Lock()
			counts[got.status]++
			mu.Unlock()
			if got.status == http.StatusTooManyRequests {
				f.c.Check(got.reason, qt.Equals, string(call.ReasonQuota))
				f.c.Check(got.header.Get("X-After"), qt.Not(qt.Equals), "0")
			}
		})
		time.Sleep(pause)
	}
	running.Wait()
	return counts
}

// One customer sends seven times its limit through all nodes. It gets its limit and no
// more, receives 429 with a Retry-After for the rest, and another customer is not
// affected.
func TestOneCustomerGetsItsLimitOverAllNodes(t *testing.T) {
	inFleet(t, func(f *fleet) {
		seen := &arrivals{}
		nodes := f.quotaFleet(5, seen, 20, 20)
		counts := f.sendHot(nodes, 140, 10*time.Second)
		f.c.Check(float64(seen.most(5*time.Second)) <= quota.DefaultTolerance.MaxRequests(quota.Limit{Rate: 20, Burst: 20}), qt.IsTrue, qt.Commentf("%d", seen.most(5*time.Second)))
		f.c.Check(counts[http.StatusOK] >= 190, qt.IsTrue, qt.Commentf("%v", counts))
		f.c.Check(counts[http.StatusOK]+counts[http.StatusTooManyRequests], qt.Equals, 1400, qt.Commentf("%v", counts))
		for i := range 50 {
			got := f.askRouted(nodes[i%len(nodes)], "/browse/x", "free"+strconv.Itoa(i), "X-Key", "free")
			f.c.Check(got.status, qt.Equals, http.StatusOK)
		}
	})
}

// All nodes are restarted at the same time while a customer sends many times its limit.
// No window may contain the customer's burst twice.
func TestRestartOfAllLendsNothingTwice(t *testing.T) {
	inFleet(t, func(f *fleet) {
		seen := &arrivals{}
		nodes := f.quotaFleet(5, seen, 20, 20)
		f.sendHot(nodes, 100, 4*time.Second)
		for i, n := range nodes {
			n.Close()
			delete(f.nodes, "vm"+strconv.Itoa(i))
		}
		f.peers = nil
		var again []*Node
		for i := range nodes {
			n := f.addRouted("again"+strconv.Itoa(i), "desk", 100, seen.note)
			f.c.Assert(n.OfferConfig(limitedSet(f.c, 2, 20, 20)), qt.IsNil)
			again = append(again, n)
		}
		f.sendHot(again, 100, 6*time.Second)
		f.c.Check(float64(seen.most(5*time.Second)) <= quota.DefaultTolerance.MaxRequests(quota.Limit{Rate: 20, Burst: 20}), qt.IsTrue, qt.Commentf("%d", seen.most(5*time.Second)))
	})
}

// A network partition divides the nodes into two halves. Each half leases half of the
// limit, so that both together stay within it, and both continue to lease.
func TestPartitionSidesShareTheLimit(t *testing.T) {
	inFleet(t, func(f *fleet) {
		seen := &arrivals{}
		nodes := f.quotaFleet(6, seen, 40, 40)
		f.sendHot(nodes, 120, 2*time.Second)
		for i := range nodes {
			for k := range nodes {
				if i%2 != k%2 {
					f.net.Cut(fmt.Sprintf("vm%d", i), fmt.Sprintf("vm%d", k))
				}
			}
		}
		counts := f.sendHot(nodes, 120, 15*time.Second)
		f.c.Check(float64(seen.most(5*time.Second)) <= quota.DefaultTolerance.MaxRequests(quota.Limit{Rate: 40, Burst: 40}), qt.IsTrue, qt.Commentf("%d", seen.most(5*time.Second)))
		f.c.Check(counts[http.StatusOK] >= 15*40/2, qt.IsTrue, qt.Commentf("%v", counts))
	})
}

// A configuration version that reaches the nodes one after the other lowers the limit
// far below what its customer sends. The customer's owner applies the latest version.
func TestLowerLimitsHoldAtOnce(t *testing.T) {
	inFleet(t, func(f *fleet) {
		seen := &arrivals{}
		nodes := f.quotaFleet(5, seen, 200, 200)
		f.sendHot(nodes, 100, 2*time.Second)
		f.c.Assert(nodes[0].OfferConfig(limitedSet(f.c, 3, 10, 10)), qt.IsNil)
		time.Sleep(2 * time.Second)
		lowered := &arrivals{}
		seen.mu.Lock()
		before := len(seen.at)
		seen.mu.Unlock()
		f.sendHot(nodes, 100, 8*time.Second)
		lowered.at = seen.at[before:]
		f.c.Check(float64(lowered.most(5*time.Second)) <= quota.DefaultTolerance.MaxRequests(quota.Limit{Rate: 10, Burst: 10}), qt.IsTrue, qt.Commentf("%d", lowered.most(5*time.Second)))
	})
}

// The owner of a customer fails. The customer's requests are refused for a moment at
// most, and its limit holds.
func TestLostOwnersAreReplaced(t *testing.T) {
	inFleet(t, func(f *fleet) {
		seen := &arrivals{}
		nodes := f.quotaFleet(5, seen, 40, 40)
		f.sendHot(nodes, 20, 2*time.Second)
		owner, _ := nodes[0].quotas.owners.Load().Of("hot")
		var rest []*Node
		for i, n := range nodes {
			if n.id == owner {
				n.Close()
				delete(f.nodes, "vm"+strconv.Itoa(i))
				continue
			}
			rest = append(rest, n)
		}
		counts := f.sendHot(rest, 20, 10*time.Second)
		f.c.Check(counts[http.StatusOK] >= 180, qt.IsTrue, qt.Commentf("%v", counts))
	})
}

// Guards against a Retry-After that is earlier than a token because of the profile's target:
// a caller over its limit that heeds each one would be refused again and again.
func TestRetryAfterOverALimitFollowsItsTokens(t *testing.T) {
	for _, target := range []time.Duration{0, 100 * time.Millisecond, 2 * time.Second} {
		t.Run(target.String(), func(t *testing.T) {
			inFleet(t, func(f *fleet) {
				n := f.addRouted("vm0", "desk", 100, echo)
				f.settle()
				set := limitedSet(f.c, 2, 1, 1)
				for i := range set.Profiles {
					set.Profiles[i].Target = config.Duration(target)
				}
				f.c.Assert(n.OfferConfig(set), qt.IsNil)
				served, refused := 0, 0
				for start := time.Now(); time.Since(start) < 30*time.Second; {
					got := f.askRouted(n, "/browse/x", strconv.Itoa(served+refused), "X-Key", "hot")
					if got.status == http.StatusOK {
						served++
						continue
					}
					refused++
					after, err := strconv.Atoi(got.header.Get("X-After"))
					f.c.Assert(err, qt.IsNil)
					time.Sleep(time.Duration(after) * time.Millisecond)
				}
				f.c.Check(refused <= served, qt.IsTrue, qt.Commentf("refused %d times, served %d", refused, served))
				f.c.Check(served >= 25, qt.IsTrue, qt.Commentf("served %d of a limit of 30", served))
			})
		})
	}
}

// A request that was refused for another reason returns its token.
func TestRefusedRequestsReturnTheirToken(t *testing.T) {
	inFleet(t, func(f *fleet) {
		n := f.addRouted("front", "front", 10, echo)
		f.settle()
		f.c.Assert(n.OfferConfig(limitedSet(f.c, 2, 1, 4)), qt.IsNil)
		for i := range 20 {
			got := f.askRouted(n, "/browse/x", strconv.Itoa(i), "X-Key", "hot")
			f.c.Check(got.reason, qt.Equals, string(call.ReasonNoTarget), qt.Commentf("request %d", i))
		}
	})
}

// Invalid token requests, and those of unknown members, are refused and change nothing.
func TestTokenRequestsAreValidated(t *testing.T) {
	inFleet(t, func(f *fleet) {
		n := f.addRouted("n", "desk", 10, echo)
		f.settle()
		for name, headers := range map[string]string{
			"no customer":    "Quota-Rate: 1\r\nQuota-Burst: 1\r\nQuota-Version: 1\r\nQuota-Want: 1\r\nQuota-Need: 1\r\n",
			"rate of 0":      "Quota-Customer: a\r\nQuota-Rate: 0\r\nQuota-Burst: 1\r\nQuota-Version: 1\r\nQuota-Want: 1\r\nQuota-Need: 1\r\n",
			"no number":      "Quota-Customer: a\r\nQuota-Rate: NaN\r\nQuota-Burst: 1\r\nQuota-Version: 1\r\nQuota-Want: 1\r\nQuota-Need: 1\r\n",
			"negative":       "Quota-Customer: a\r\nQuota-Rate: 1\r\nQuota-Burst: -1\r\nQuota-Version: 1\r\nQuota-Want: 1\r\nQuota-Need: 1\r\n",
			"huge want":      "Quota-Customer: a\r\nQuota-Rate: 1\r\nQuota-Burst: 1\r\nQuota-Version: 1\r\nQuota-Want: 9999999\r\nQuota-Need: 1\r\n",
			"need over want": "Quota-Customer: a\r\nQuota-Rate: 1\r\nQuota-Burst: 1\r\nQuota-Version: 1\r\nQuota-Want: 1\r\nQuota-Need: 2\r\n",
			"bad escaping":   "Quota-Customer: %zz\r\nQuota-Rate: 1\r\nQuota-Burst: 1\r\nQuota-Version: 1\r\nQuota-Want: 1\r\nQuota-Need: 1\r\n",
		} {
			resp := f.raw(n, PeerListener, "POST "+quotaPath+" HTTP/1.1\r\nHost: "+quotaHost+"\r\nContent-Length: 0\r\nConnection: close\r\n"+headers+"\r\n")
			f.c.Check(resp.StatusCode, qt.Equals, http.StatusBadRequest, qt.Commentf(name))
		}
		good := "Quota-Customer: a\r\nQuota-Rate: 1\r\nQuota-Burst: 1\r\nQuota-Version: 1\r\nQuota-Want: 1\r\nQuota-Need: 1\r\n"
		resp := f.raw(n, PeerListener, "POST "+quotaPath+" HTTP/1.1\r\nHost: "+quotaHost+"\r\nContent-Length: 0\r\nConnection: close\r\n"+good+"\r\n")
		f.c.Check(resp.StatusCode, qt.Equals, http.StatusForbidden, qt.Commentf("unknown member"))
		f.c.Check(n.quotas.ledger.Accounts(), qt.HasLen, 0)
	})
}

// BenchmarkQuotaTaken measures the cost of a limit for a request whose token is already
// at the node.
func BenchmarkQuotaTaken(b *testing.B) {
	p := quota.NewTokenCache(400 * time.Millisecond)
	now := time.Now()
	b.ReportAllocs()
	for i := range b.N {
		if i%100 == 0 {
			p.Put("a", quota.Grant{Tokens: 100}, now, now)
		}
		if !p.Take("a", now).OK {
			b.Fatal("no token")
		}
	}
}
