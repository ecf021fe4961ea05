package membership

import (
	"flag"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var measure = flag.Bool("measure", false, "run cluster tests at all sizes and with more trials, to measure")

func measuredSizes() []int {
	if *measure {
		return []int{10, 40, 160, largest}
	}
	return []int{40}
}

// Members crash one after the other. Callers are routed to a crashed member until probes
// and relayed probes have failed and the suspicion has run out. Before that, one message
// in twenty is lost in each direction for a minute, including probes and refutations, and
// no member may be declared dead because of it. The logged figures are the ones in the
// design note.
func TestDetection(t *testing.T) {
	for _, size := range measuredSizes() {
		victims := min(12, size/4)
		cluster(t, size, func(w *network) {
			steady, dials := w.traffic(size)
			w.lose(0.05)
			raised := w.sum(func(s Stats) uint64 { return s.SuspicionsRaised })
			lossy, _ := w.traffic(size)
			raised = w.sum(func(s Stats) uint64 { return s.SuspicionsRaised }) - raised
			w.c.Assert(w.sum(deathsOf), qt.Equals, uint64(0))
			w.lose(0)
			time.Sleep(10 * time.Second)
			var detected []time.Duration
			for _, victim := range w.nodes[3 : 3+victims] {
				victim.crash()
				took := w.within(9*time.Second, func(n *testNode) bool { return n.state(victim.id()) == Dead })
				detected = append(detected, took)
				time.Sleep(5 * time.Second)
			}
			w.within(0, func(n *testNode) bool { return len(n.Members()) == size-victims && n.countState(Alive) == size-victims })
			slices.Sort(detected)
			w.c.Logf("size %d: steady %d B/s a node in+out, %.3f dials/s; at 5%% loss %d B/s and %d suspicions raised in a minute; dead everywhere after %v (median), %v (max)",
				size, steady, dials, lossy, raised, detected[victims/2], detected[victims-1])
		})
	}
}

// traffic measures the traffic of a minute, after another minute in which the persistent
// connections are opened.
func (w *network) traffic(size int) (perNode int, dials float64) {
	const window = time.Minute
	m := w.metered()
	time.Sleep(window)
	m.reset()
	time.Sleep(window)
	seconds := int(window / time.Second)
	return m.perNode(size) / seconds, m.dialsPerNode(size) / float64(seconds)
}

func deathsOf(s Stats) uint64 { return s.Deaths }
