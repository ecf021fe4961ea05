package node

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// injectedFault is a fault that is injected while some requests crash upstreams. It
// takes some seconds, after which everything runs normally again.
type injectedFault func(m *crashingUpstreams, random *rand.Rand)

var faultKinds = map[string]injectedFault{
	"a node restarts": func(m *crashingUpstreams, random *rand.Rand) {
		m.restartNode(random.IntN(len(m.nodes)))
	},
	"all nodes restart in turn": func(m *crashingUpstreams, _ *rand.Rand) {
		for i := range m.nodes {
			m.restartNode(i)
			time.Sleep(time.Second)
		}
	},
	"all nodes restart at once": func(m *crashingUpstreams, _ *rand.Rand) {
		for i := range m.nodes {
			m.restartNode(i)
		}
	},
	"an upstream ends of itself": func(m *crashingUpstreams, random *rand.Rand) {
		m.crashUpstream(m.at(random.IntN(len(m.nodes))))
	},
	"a node is cut off": func(m *crashingUpstreams, random *rand.Rand) {
		cut := random.IntN(len(m.nodes))
		each := func(change func(a, b string)) {
			for i := range m.nodes {
				if i != cut {
					change(m.name(cut), m.name(i))
					change(m.name(i), m.name(cut))
				}
			}
		}
		each(m.net.Cut)
		time.Sleep(5 * time.Second)
		each(m.net.Heal)
	},
	"the upstreams end together": func(m *crashingUpstreams, _ *rand.Rand) {
		for _, n := range m.nodes {
			m.crashUpstream(n)
		}
	},
}

// Guards against losing the crash count of a request while other faults happen.
func TestRequestStaysQuarantinedDuringFaults(t *testing.T) {
	for name, happens := range faultKinds {
		for seed := range uint64(2) {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				t.Parallel()
				inFleet(t, func(f *fleet) {
					random := rand.New(rand.NewPCG(seed, seed))
					m := f.addCrashingUpstreams(4)
					culprit := m.call(700*time.Millisecond, samePath(fatalPath))
					writes := m.call(1100*time.Millisecond, samePath(fatalWrite))
					innocent := m.call(50*time.Millisecond, func(i int) string { return "/browse/" + strconv.Itoa(i%40) })
					for range 4 {
						time.Sleep(time.Duration(random.IntN(5000)) * time.Millisecond)
						happens(m, random)
						time.Sleep(5 * time.Second)
					}
					culprit.stop()
					writes.stop()
					innocent.stop()
					for _, path := range []string{fatalPath, fatalWrite} {
						late := m.crashesAfterThird(path, 3*time.Second)
						f.c.Check(late <= 3, qt.IsTrue, qt.Commentf("%s: %d upstreams crashed later, at %v", path, late, m.crashesDuring(path)))
					}
				})
			})
		}
	}
}
