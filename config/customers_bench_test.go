package config

import (
	"runtime"
	"strconv"
	"testing"

	"pollengauge.dev/customer"
)

// manyCustomers returns a Set with count customers of ten keys each.
func manyCustomers(count int) Set {
	set := Default()
	set.Version = 1
	for i := range count {
		c := customer.Customer{Name: "customer" + strconv.Itoa(i), Rate: 10, Burst: 10}
		for k := range 10 {
			c.Keys = append(c.Keys, customer.DigestOf(strconv.Itoa(i)+"."+strconv.Itoa(k)))
		}
		set.Customers = append(set.Customers, c)
	}
	return set
}

// BenchmarkCustomersInForce measures the time to activate a version received from a
// peer, and the memory used afterwards.
func BenchmarkCustomersInForce(b *testing.B) {
	for _, count := range []int{78, 20_000} {
		b.Run(strconv.Itoa(count), func(b *testing.B) {
			set := manyCustomers(count)
			b.ReportAllocs()
			var store *Store
			for i := range b.N {
				set.Version = uint64(i) + 1
				data, err := Encode(set)
				if err != nil {
					b.Fatal(err)
				}
				b.SetBytes(int64(len(data)))
				store = NewStore()
				if _, err := store.Offer(data, SourcePeer); err != nil {
					b.Fatal(err)
				}
			}
			runtime.GC()
			var memory runtime.MemStats
			runtime.ReadMemStats(&memory)
			b.ReportMetric(float64(memory.HeapAlloc)/(1<<20), "MB-held")
			runtime.KeepAlive(store)
		})
	}
}
