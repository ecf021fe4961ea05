package config_test

import (
	"context"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/config"
	"pollengauge.dev/objects"
	"pollengauge.dev/standin"
)

// encodedDefault returns the encoded default Set with version n.
func encodedDefault(c *qt.C, n uint64) []byte {
	set := config.Default()
	set.Version = n
	data, err := config.Encode(set)
	c.Assert(err, qt.IsNil)
	return data
}

// Gossip delivers versions from many peers at once and in any order. If a
// subscriber saw version 5 and then version 4, the node would run an old Set.
func TestConcurrentOffersOnlyRaiseVersion(t *testing.T) {
	c := qt.New(t)
	const versions, workers = 800, 8
	store := config.NewStore()
	var seen []uint64
	second := encodedDefault(c, 2)
	offered := make(chan struct{})
	cancel := store.Subscribe(func(active *config.Compiled) {
		seen = append(seen, active.Version())
		if len(seen) != 2 {
			return
		}
		go func() {
			defer close(offered)
			_, _ = store.Offer(second, config.SourcePeer)
		}()
		select {
		case <-offered:
			t.Error("an Offer completed while another Offer was notifying subscribers")
		case <-time.After(50 * time.Millisecond): // Without a fault, the Offer is still blocked now.
		}
	})
	_, err := store.Offer(encodedDefault(c, 1), config.SourcePeer)
	c.Assert(err, qt.IsNil)
	var wg sync.WaitGroup
	for worker := range uint64(workers) {
		var messages [][]byte
		for i := range uint64(versions / workers) {
			// Concurrent workers offer neighbouring versions, each followed by an
			// old one.
			messages = append(messages, encodedDefault(c, workers*i+worker+1), encodedDefault(c, i+1))
		}
		wg.Go(func() {
			for _, message := range messages {
				if _, err := store.Offer(message, config.SourcePeer); err != nil {
					t.Error(err)
				}
			}
		})
	}
	wg.Wait()
	<-offered
	cancel()
	c.Check(seen[0], qt.Equals, uint64(0))
	for i := 1; i < len(seen); i++ {
		c.Assert(seen[i] > seen[i-1], qt.IsTrue)
	}
	c.Check(store.Current().Version(), qt.Equals, uint64(versions))
}

func staticPeer(data []byte) config.Peer {
	return func(context.Context) ([]byte, error) { return data, nil }
}

// A VM is replaced while the platform is down. One of its peers is stale, one sends
// invalid data, one never responds, and two are up to date. The node must activate
// the highest version and not wait beyond its deadline.
func TestBootstrapActivatesHighestVersion(t *testing.T) {
	runInBubble(t, func(c *qt.C, ctx context.Context) {
		memory := standin.NewMemory()
		memory.SetFaults(standin.Faults{Down: true})
		hung := make(chan struct{})
		defer close(hung)
		silent := func(context.Context) ([]byte, error) {
			<-hung
			return nil, context.Canceled
		}
		peers := []config.Peer{staticPeer(encodedDefault(c, 7)), staticPeer(encodedDefault(c, 3)), staticPeer([]byte("{}")), silent, staticPeer(encodedDefault(c, 7))}
		ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
		defer cancel()
		result := config.Bootstrap(ctx, config.NewStore(), memory, peers)
		c.Check(result.Status.Version, qt.Equals, uint64(7))
		c.Check(result.Status.HasStoredSet, qt.IsTrue)
		c.Check(result.Responded, qt.Equals, 3)
		c.Check(result.PlatformResponded, qt.IsFalse)
	})
}

// A node starts while neither the platform nor a peer responds. It must report that
// and treat writes as unrepeatable, activate the stored Set within seconds of the
// recovery of the platform, and keep it when the object is deleted.
func TestFollowThroughOutages(t *testing.T) {
	runInBubble(t, func(c *qt.C, ctx context.Context) {
		ctx, cancel := context.WithCancel(ctx)
		memory := standin.NewMemory()
		_, err := config.Apply(ctx, memory, draft(1), applyOptions(0, "a"))
		c.Assert(err, qt.IsNil)
		memory.SetFaults(standin.Faults{Down: true})

		store := config.NewStore()
		result := config.Bootstrap(ctx, store, memory, nil)
		c.Check(result.Status.HasStoredSet, qt.IsFalse)
		c.Check(result.Failures, qt.HasLen, 1)
		c.Check(store.Current().Match("filing", "POST", "/filings").Unrepeatable, qt.IsTrue)

		go config.Follow(ctx, memory, store, config.FollowOptions{})
		time.Sleep(10 * time.Minute)
		memory.SetFaults(standin.Faults{})
		time.Sleep(5 * time.Second)
		c.Check(store.Status().ChangeID, qt.Equals, "a")
		c.Check(store.Status().Source, qt.Equals, config.SourcePlatform)

		memory.SetFaults(standin.Faults{DuplicateNext: 1, LateNext: 1, LateMillis: 900})
		for n, id := range []string{"b", "c"} {
			_, err := config.Apply(ctx, memory, draft(n), applyOptions(uint64(n+1), id))
			c.Assert(err, qt.IsNil)
		}
		time.Sleep(5 * time.Second)
		c.Check(store.Status().Version, qt.Equals, uint64(3))

		object, err := memory.Get(ctx, config.ObjectKind, config.ObjectName)
		c.Assert(err, qt.IsNil)
		c.Assert(memory.Delete(ctx, object.Kind, object.Name, object.Version), qt.IsNil)
		time.Sleep(5 * time.Second)
		c.Check(store.Status().Version, qt.Equals, uint64(3))
		cancel()
		synctest.Wait()
	})
}

var _ objects.Store = (*faultyPlatform)(nil)

// BenchmarkOffer measures the cost of a new version on a node, and the encoded size
// of the larger example Set.
func BenchmarkOffer(b *testing.B) {
	file, err := os.ReadFile("../examples/nyitottkapu.yaml")
	if err != nil {
		b.Fatal(err)
	}
	set, err := config.Parse(file, config.YAML)
	if err != nil {
		b.Fatal(err)
	}
	set.Version = 1
	data, err := config.Encode(set)
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if accepted, _ := config.NewStore().Offer(data, config.SourcePeer); !accepted {
			b.Fatal("refused")
		}
	}
	b.ReportMetric(float64(len(data)), "bytes")
}
