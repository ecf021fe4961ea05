package atmostonce

import (
	"runtime"
	"testing"
)

// BenchmarkRun measures one call with a new key: Begin, Dispatched and Done.
func BenchmarkRun(b *testing.B) {
	table, _ := testNode(1, func(cfg *Config) { cfg.MaxEntries = b.N + 1 })
	keys := make([]string, b.N)
	for i := range keys {
		keys[i] = table.Mint().String()
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		v, err := present(table, keys[i])
		if err != nil {
			b.Fatal(err)
		}
		_ = v.Run.Dispatched()
		_ = v.Run.Done(Answer{Status: 201})
	}
	b.StopTimer()
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(b.N), "B/entry")
	runtime.KeepAlive(table)
}

// BenchmarkReplay measures second presentations of a key, from all processors
// in parallel.
func BenchmarkReplay(b *testing.B) {
	table, _ := testNode(1, nil)
	key := table.Mint().String()
	v, _ := present(table, key)
	_ = v.Run.Dispatched()
	_ = v.Run.Done(Answer{Status: 201, Body: []byte("filed")})
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			_, _ = present(table, key)
		}
	})
}
