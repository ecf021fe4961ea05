package slotshare

import (
	"math"
	"runtime"
	"strconv"
	"sync"
	"testing"
	"time"
	"unsafe"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// Guards against memory that grows with the number of customers, and against the loss of a customer
// that was seen recently in place of one that was not.
func TestMemoryIsBoundedAt20001Customers(t *testing.T) {
	c := qt.New(t)
	c.Check(unsafe.Sizeof(entry{}) <= 48, qt.IsTrue, qt.Commentf("%d bytes", unsafe.Sizeof(entry{})))
	table := NewTable()
	name := func(i int) string { return "customer" + strconv.Itoa(i) }
	for i := range MaxEntries {
		table.Observe(name(i), "deep", "read", ms)
	}
	size := 0
	for i := range table.shards {
		size += cap(table.shards[i].entries)*int(unsafe.Sizeof(entry{})) + cap(table.shards[i].buckets)*int(unsafe.Sizeof(none))
	}
	c.Check(size <= 64*MaxEntries, qt.IsTrue, qt.Commentf("%d bytes an entry", size/MaxEntries))
	newest := name(MaxEntries)
	shard := &table.shards[table.hash(newest, table.services["deep"])%shardCount]
	oldest := shard.entries[shard.oldest].customer
	table.Observe(newest, "deep", "read", 5*ms)
	c.Check(table.count.Load(), qt.Equals, int32(MaxEntries))
	known, evicted := table.Usages()
	c.Check(known, qt.HasLen, MaxEntries)
	c.Check(evicted, qt.Equals, ms)
	for _, u := range known {
		c.Assert(u.Customer == oldest, qt.IsFalse)
	}
	for range 3 * MaxEntries {
		table.Observe(name(0), "deep", "read", ms)
	}
	c.Check(table.count.Load(), qt.Equals, int32(MaxEntries))
}

// Guards against a cost that is used before it is known, and against one that outlives a restart:
// a new Table ranks all customers alike.
func TestANodeThatHasRestartedKnowsNoCosts(t *testing.T) {
	c := qt.New(t)
	table := NewTable()
	for i := range 100 {
		table.Observe("light", "deep", "read", 10*ms)
		if i < minSeen {
			c.Check(table.Cost("heavy", "deep"), qt.Equals, 1.0)
			table.Observe("heavy", "deep", "read", 300*ms)
		}
	}
	c.Check(table.Cost("heavy", "deep") > 2, qt.IsTrue)
	c.Check(table.Cost("light", "deep") < 1, qt.IsTrue)
	c.Check(table.Cost("heavy", "other"), qt.Equals, 1.0)
	c.Check(NewTable().Cost("heavy", "deep"), qt.Equals, 1.0)
}

// Guards against a customer that lowers its cost with requests that are refused, and against bad
// slot times that change a cost.
func TestRefusedRequestsLeaveTheCost(t *testing.T) {
	c := qt.New(t)
	table := NewTable()
	for range 20 {
		table.Observe("heavy", "deep", "read", 100*ms)
		table.Observe("light", "deep", "read", 10*ms)
	}
	before := table.Cost("heavy", "deep")
	for range 1000 {
		table.Refuse("heavy", "deep")
		table.Observe("heavy", "deep", "read", 0)
		table.Observe("heavy", "deep", "read", -ms)
	}
	c.Check(table.Cost("heavy", "deep"), qt.Equals, before)
	c.Check(table.Ignored(), qt.Equals, uint64(2000))
	known, _ := table.Usages()
	for _, u := range known {
		if u.Customer == "heavy" {
			c.Check(u, qt.Equals, Usage{Customer: "heavy", Service: "deep", SlotTime: 2 * time.Second, Refused: 1000, Cost: before})
		}
	}
}

// Guards against a customer that improves its rank with further requests: other kinds of requests, or
// cheap requests of an expensive kind, must not lower the product of use and cost by more than the
// bounded part that comes from the kinds.
func TestFurtherRequestsDoNotImproveTheRank(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		took := rapid.Float64Range(1, 1000)
		kindMean := map[string]float64{"read": took.Draw(t, "read"), "long": took.Draw(t, "long")}
		all := took.Draw(t, "all")
		count, relative, expected, last := 0.0, 0.0, 0.0, 0.0
		for range rapid.IntRange(1, 30).Draw(t, "requests") {
			mean := kindMean[rapid.SampledFrom([]string{"read", "long"}).Draw(t, "kind")]
			count++
			relative += took.Draw(t, "took") / mean
			expected += mean
			used := count * costOf(relative/count, expected/count, all)
			if used < last/(maxMix*maxMix)-1e-9 {
				t.Fatalf("%v after %v", used, last)
			}
			last = max(last, used)
		}
	})
}

// Guards against many expensive requests that a few cheap ones of an expensive kind hide.
func TestCheapRequestsOfAnotherKindHideNothing(t *testing.T) {
	table := NewTable()
	for range 100 {
		for other := range 20 {
			table.Observe(strconv.Itoa(other), "deep", "read", 10*ms)
			table.Observe(strconv.Itoa(other), "deep", "long", time.Second)
		}
		for range 10 {
			table.Observe("heavy", "deep", "read", 100*ms)
		}
		table.Observe("heavy", "deep", "long", ms)
	}
	cost, others := table.Cost("heavy", "deep"), table.Cost("0", "deep")
	qt.Check(t, cost > 1 && cost > 1.5*others, qt.IsTrue, qt.Commentf("%v, others %v", cost, others))
}

// Guards against any report or limit that results in a cost out of bounds, in a share that is not a
// positive number, or in more entries than allowed.
func TestCostsAndMemoryStayWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable()
		customers := rapid.SampledFrom([]string{"", "a", "b", "c", "\xff", "d"})
		services := rapid.Custom(func(t *rapid.T) string { return strconv.Itoa(rapid.IntRange(0, 2*MaxServices).Draw(t, "service")) })
		for range rapid.IntRange(0, 300).Draw(t, "reports") {
			customer, service := customers.Draw(t, "customer"), services.Draw(t, "name")
			if rapid.Bool().Draw(t, "refused") {
				table.Refuse(customer, service)
				continue
			}
			table.Observe(customer, service, "read", time.Duration(rapid.Int64().Draw(t, "slotTime")))
		}
		known, evicted := table.Usages()
		if len(known) != int(table.count.Load()) || len(known) > 6*MaxServices || evicted != 0 {
			t.Fatalf("%d entries, counted %d, evicted %v", len(known), table.count.Load(), evicted)
		}
		use, weight := rapid.Float64().Draw(t, "use"), rapid.Float64().Draw(t, "weight")
		for _, u := range known {
			if !(u.Cost >= MinCost && u.Cost <= MaxCost) || u.Cost != table.Cost(u.Customer, u.Service) {
				t.Fatalf("cost %v", u.Cost)
			}
			share := Share(use, u.Cost, weight)
			if !(share >= 0) || math.IsNaN(share) || (share == 0) != (use == 0) {
				t.Fatalf("share %v of use %v, weight %v", share, use, weight)
			}
		}
	})
}

// Guards against entries of a shard that are lost or found twice when others take their place.
func TestEvictionKeepsTheIndex(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable()
		table.count.Store(MaxEntries - 40)
		want := make(map[string]int)
		for range rapid.IntRange(0, 400).Draw(t, "reports") {
			customer := strconv.Itoa(rapid.IntRange(0, 99).Draw(t, "customer"))
			table.Observe(customer, "deep", "read", ms)
			want[customer]++
		}
		known, evicted := table.Usages()
		sum := evicted
		seen := make(map[string]bool)
		for _, u := range known {
			if seen[u.Customer] || u.SlotTime > time.Duration(want[u.Customer])*ms {
				t.Fatalf("%+v", u)
			}
			seen[u.Customer] = true
			sum += u.SlotTime
		}
		total := 0
		for _, count := range want {
			total += count
		}
		if len(known) > 40 || sum+time.Duration(table.Ignored())*ms != time.Duration(total)*ms {
			t.Fatalf("%d entries with %v, want %d ms", len(known), sum, total)
		}
	})
}

// Guards against an allocation for each root request.
func TestKnownCustomersNeedNoAllocation(t *testing.T) {
	table := NewTable()
	for range 10 {
		table.Observe("a", "deep", "read", ms)
	}
	sum := 0.0
	allocations := testing.AllocsPerRun(1000, func() {
		sum += Share(0.5, table.Cost("a", "deep"), 3)
		table.Observe("a", "deep", "read", ms)
		table.Refuse("a", "deep")
	})
	qt.Check(t, allocations, qt.Equals, 0.0)
	runtime.KeepAlive(sum)
}

// Guards against data races of requests that end at the same time (run with -race).
func TestConcurrentReports(t *testing.T) {
	table := NewTable()
	var wg sync.WaitGroup
	const workers, reports = 8, 2000
	for worker := range workers {
		wg.Go(func() {
			for i := range reports {
				customer := strconv.Itoa(i % 50)
				table.Observe(customer, strconv.Itoa(worker%3), "read", ms)
				table.Cost(customer, "0")
				if i%500 == 0 {
					table.Usages()
				}
			}
		})
	}
	wg.Wait()
	known, _ := table.Usages()
	sum := time.Duration(0)
	for _, u := range known {
		sum += u.SlotTime
	}
	qt.Check(t, sum, qt.Equals, workers*reports*ms)
}

func TestInvalidValuesCountAsOne(t *testing.T) {
	c := qt.New(t)
	for _, wrong := range []float64{0, -1, MaxWeight * 2, math.NaN(), math.Inf(1), math.Inf(-1)} {
		c.Check(Share(0.5, 2, wrong), qt.Equals, 1.0)
	}
	for _, wrong := range []float64{0, -1, math.NaN()} {
		c.Check(Share(0.5, wrong, 1), qt.Equals, 0.5)
	}
	for _, wrong := range []float64{-1, 2, math.NaN()} {
		c.Check(Share(wrong, 1, 1), qt.Equals, 1.0)
	}
	c.Check(Share(0.5, math.Inf(1), 1), qt.Equals, 4.0)
	c.Check(Share(0.5, 1, math.SmallestNonzeroFloat64), qt.Equals, math.Inf(1), qt.Commentf("ShareTiebreak bounds it"))
}

// Guards against a counter that falls when the customers with the highest slot times change.
func TestTopNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		top := NewTop(2)
		totals := make(map[string]time.Duration)
		before := make(map[string]time.Duration)
		lastRest, sum, figures := time.Duration(0), time.Duration(0), []Figure(nil)
		for range rapid.IntRange(1, 20).Draw(t, "updates") {
			for range rapid.IntRange(0, 5).Draw(t, "reports") {
				grown := time.Duration(rapid.IntRange(1, 100).Draw(t, "ms")) * ms
				totals[rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "customer")] += grown
				sum += grown
			}
			known := make([]Usage, 0, len(totals))
			for name, total := range totals {
				known = append(known, Usage{Customer: name, Service: "deep", SlotTime: total})
			}
			var left []string
			var rest time.Duration
			figures, left, rest = top.Update(known, 0)
			for _, name := range left {
				delete(before, name)
			}
			counted := rest
			for _, f := range figures {
				if f.SlotTime < before[f.Customer] {
					t.Fatalf("%s fell", f.Customer)
				}
				before[f.Customer] = f.SlotTime
				counted += f.SlotTime
			}
			if rest < lastRest || counted != sum || len(figures) > 2 {
				t.Fatalf("rest %v after %v, counted %v of %v, %d figures", rest, lastRest, counted, sum, len(figures))
			}
			lastRest = rest
		}
	})
}

func BenchmarkShare(b *testing.B) {
	table := NewTable()
	for i := range MaxEntries {
		table.Observe(strconv.Itoa(i), "deep", "read", ms)
	}
	b.ReportAllocs()
	names := [...]string{"77", "78"}
	for i := 0; b.Loop(); i++ {
		Share(0.5, table.Cost(names[i%2], "deep"), 1)
	}
}
