package membership

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// replacement defines how many processes are replaced, and the time between the
// replacements.
type replacement struct {
	name     string
	count    int
	interval time.Duration
	// downtime is the time for which each process is stopped.
	downtime time.Duration
	// limit bounds the average traffic of a node over a minute, in bytes a second.
	limit float64
}

// Processes are replaced at their addresses: all those of a day at once, a rack, or a few
// one by one. The updates cost traffic on every node, and a restarted node can be used
// only once all members know it.
func TestMassReplacement(t *testing.T) {
	replacements := []replacement{{"48 at once", 48, 0, 500 * time.Millisecond, 3_200}}
	if *measure {
		replacements = append(replacements,
			replacement{"48 at once, gone for 10 s", 48, 0, 10 * time.Second, 5_200},
			replacement{"a rack of 20 at once", 20, 0, 500 * time.Millisecond, 2_200},
			replacement{"one", 1, 0, 500 * time.Millisecond, 1_180},
			replacement{"6 rolling, 10 s apart", 6, 10 * time.Second, 500 * time.Millisecond, 1_800})
	}
	size := sizeOr(120)
	for _, s := range replacements {
		cluster(t, size, func(w *network) { s.run(w, size) })
	}
}

func (s replacement) run(w *network, size int) {
	steady, _ := w.traffic(size)
	w.meter.reset()
	start := time.Now()
	old := map[string]bool{}
	for i := range s.count {
		old[w.nodes[i].id()] = true
		w.nodes[i].crash()
		if s.interval > 0 {
			time.Sleep(s.downtime)
			w.start(i)
			time.Sleep(s.interval - s.downtime)
		}
	}
	if s.interval == 0 {
		time.Sleep(s.downtime)
		for i := range s.count {
			w.start(i)
		}
	}
	took := w.within(12*time.Second, func(n *testNode) bool {
		return n.countState(Alive) == size && !old[n.Members()[0].ID] && !old[n.Members()[size-1].ID]
	})
	span := time.Since(start)
	w.c.Logf("%s: known everywhere after %v, %d bytes a node; requests and replies of ping, relay, sync, pull: %d",
		s.name, took, w.meter.perNode(size), w.meter.perKind(size))
	time.Sleep(max(0, 10*time.Second-span))
	w.report(size, s.count, time.Since(start))
	time.Sleep(max(0, time.Minute-time.Since(start)))
	mean := w.report(size, s.count, time.Since(start))
	w.c.Logf("  steady %d B/s", steady)
	w.c.Assert(mean < s.limit, qt.IsTrue)
}

func (w *network) report(size, replaced int, span time.Duration) (mean float64) {
	seconds := span.Seconds()
	mean = float64(w.meter.perNode(size)) / seconds
	w.c.Logf("  mean over %v: %.0f B/s a node, busiest of the remaining nodes %.0f, of the new nodes %.0f",
		span.Round(time.Second), mean, float64(w.meter.most(w.nodes[replaced:]))/seconds, float64(w.meter.most(w.nodes[:replaced]))/seconds)
	return mean
}
