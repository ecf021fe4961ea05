package node

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/call"
	"pollengauge.dev/config"
	"pollengauge.dev/customer"
)

// weightedSet is routedSet with three customers of equal limits, of which one has the weight 3.
func weightedSet(c *qt.C) config.Set {
	set, err := config.Parse([]byte(routedSet), config.YAML)
	c.Assert(err, qt.IsNil)
	set.Version = 2
	for _, name := range []string{"heavy", "light", "weighted"} {
		set.Customers = append(set.Customers, customer.Customer{Name: name, Rate: 50, Burst: 50, Keys: []customer.Digest{customer.DigestOf(name)}})
	}
	set.Customers[2].Weight = 3
	return set
}

// Guards against a customer that takes most of a service under pressure although it sends no more
// requests than another one, whose requests are then refused alike.
func TestSlotTimeDecidesWhoIsRefused(t *testing.T) {
	inFleet(t, func(f *fleet) {
		desk := func(w http.ResponseWriter, r *http.Request, c func(string, string, string) (*http.Response, error)) {
			pause := 20 * time.Millisecond
			if r.Header.Get("X-Customer") == "heavy" {
				pause *= 20
			}
			time.Sleep(pause)
			echo(w, r, c)
		}
		front, log := f.addLogged("front", "front", echo)
		f.addRouted("desk", "desk", 8, desk)
		f.settle()
		for _, n := range f.nodes {
			f.c.Assert(n.OfferConfig(weightedSet(f.c)), qt.IsNil)
		}
		var mu sync.Mutex
		var running sync.WaitGroup
		served := map[string]int{}
		const requests = 1200
		for i := range requests {
			for _, name := range []string{"heavy", "light"} {
				running.Go(func() {
					got := f.askRouted(front, "/browse/x", name+strconv.Itoa(i), "X-Key", name)
					mu.Lock()
					defer mu.Unlock()
					if got.status == http.StatusOK && i > requests/2 {
						served[name]++
					}
				})
			}
			time.Sleep(25 * time.Millisecond)
		}
		running.Wait()
		time.Sleep(2 * sweepTicks * maintainInterval)
		views := map[string]CustomerView{}
		for _, view := range front.CustomerViews().Customers {
			views[view.Name] = view
		}
		f.c.Logf("served %v, views %+v", served, views)
		f.c.Check(served["light"] > 2*served["heavy"], qt.IsTrue, qt.Commentf("%v", served))
		f.c.Assert(views["heavy"].SlotTimes, qt.HasLen, 1)
		heavy, light := views["heavy"].SlotTimes[0], views["light"].SlotTimes[0]
		f.c.Check(heavy.Service, qt.Equals, "desk")
		f.c.Check(heavy.Seconds > 2*light.Seconds, qt.IsTrue)
		f.c.Check(heavy.Cost > 1 && light.Cost < 1, qt.IsTrue)
		f.c.Check(heavy.Refused > light.Refused, qt.IsTrue)
		f.c.Check(views["weighted"].Weight, qt.Equals, 3.0)
		f.c.Check(views["light"].Weight, qt.Equals, 1.0)
		f.c.Check(f.metric(front, `pollengauge_slot_time_seconds_total{customer="heavy"}`), qt.Not(qt.Equals), "")
		f.c.Check(strings.Join(log.all(), ""), qt.Contains, "event=4045 name=refused-by-share")
	})
}

// Guards against a tie-break that moves a request to another priority, against a weight without
// effect, and against a cost that is lowered by requests that fail.
func TestSharesRankWithinThePriority(t *testing.T) {
	inFleet(t, func(f *fleet) {
		n := f.addRouted("front", "front", 10, echo)
		f.c.Assert(n.OfferConfig(weightedSet(f.c)), qt.IsNil)
		known := n.config.Current().Customers()
		request := func(name string) *request {
			return &request{service: "desk", identity: ownership{customer: known.ByName(name)}, quotaUse: 1, call: call.Context{Profile: "read", Level: call.MakeLevel(4, 9)}}
		}
		report := func(name string, outcome call.Outcome, status, work int) {
			n.recordPressure(request(name), &answer{target: "b", status: status, report: call.Report{Outcome: outcome, Pressure: 300, Work: work}})
		}
		for range 40 {
			report("heavy", call.Complete, http.StatusOK, 300)
			report("light", call.Complete, http.StatusOK, 10)
			report("weighted", call.Complete, http.StatusOK, 10)
		}
		cost := n.slots.table.Cost("heavy", "desk")
		f.c.Check(cost > 2, qt.IsTrue)
		for range 1000 {
			report("heavy", call.NotRun, http.StatusServiceUnavailable, 1)
			report("heavy", call.Complete, http.StatusBadGateway, 1)
			report("heavy", call.Complete, http.StatusNotFound, 1)
			report("heavy", call.Unknown, http.StatusGatewayTimeout, 1)
			report("heavy", call.Complete, http.StatusOK, 0)
		}
		f.c.Check(n.slots.table.Cost("heavy", "desk"), qt.Equals, cost)
		mean := func(name string) (sum int) {
			const draws = 2000
			for range draws {
				req := request(name)
				n.placeFairly(req)
				f.c.Assert(req.call.Level.Priority(), qt.Equals, call.Priority(4))
				sum += int(req.call.Level.Tiebreak())
			}
			return sum / draws
		}
		heavy, light, weighted := mean("heavy"), mean("light"), mean("weighted")
		f.c.Check(heavy < 50 && light > 100 && weighted > light, qt.IsTrue, qt.Commentf("%d %d %d", heavy, light, weighted))
		n.settings.Ablate.NoSlotShare = true
		f.c.Check(mean("heavy") > 58 && mean("weighted") < 68, qt.IsTrue)
	})
}
