package admission

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
)

// BenchmarkAcquireRelease reports wall time over all processors; one decision
// takes that time multiplied by GOMAXPROCS. Run it with -cpu 1,12.
func BenchmarkAcquireRelease(b *testing.B) {
	g := fixed(qt.New(b), Config{Slots: 300, InitialLimit: 300, DepthAware: true})
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			acquireRelease(b, g)
		}
	})
}

func acquireRelease(t testing.TB, g *Gate) {
	ticket, err := g.Acquire(context.Background(), Request{Level: 700, Profile: "filing"})
	if err != nil {
		t.Error(err)
	}
	ticket.Release(OK)
}
