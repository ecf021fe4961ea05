package proof

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pollengauge.dev/config"
	"pollengauge.dev/node"
)

// calmRun is a drawn run without injected faults: nodes drain, exit and start,
// operators edit the configuration, and every caller must receive a complete
// answer.
type calmRun struct {
	*fuzz
	leaving map[string]bool
	// knownFrom is the time from which a node counts as able to receive calls.
	knownFrom map[string]time.Time
	// usableFrom is the time from which external callers may use a new node.
	usableFrom map[string]time.Time
}

// membershipUpdateTimeout is the time after which all nodes have learned of a new
// node or of a cancelled drain.
const membershipUpdateTimeout = 3 * time.Second

func newCalmRun(t *rapid.T, w *world) *calmRun {
	c := &calmRun{fuzz: &fuzz{world: w, keys: make(map[*Operation]string)}, leaving: make(map[string]bool), knownFrom: make(map[string]time.Time), usableFrom: make(map[string]time.Time)}
	adjust := func(s *node.Settings) { s.MaxReplayBytes = 4 << 10 }
	w.startAll("portal", 100, adjust, "p1", "p2", "p3")
	w.startAll("registry", 100, adjust, "r1", "r2")
	w.settle()
	c.calm.set(false)
	for _, host := range w.Hosts() {
		w.Member(host).Upstream.Behave(Behavior{Work: milliseconds(t, 0, 300, "work")})
	}
	return c
}

// staying returns the hosts with a prefix whose nodes are known to all other
// nodes and are not draining.
func (c *calmRun) staying(prefix string) (hosts []string) {
	for _, host := range c.Hosts() {
		if strings.HasPrefix(host, prefix) && !c.leaving[host] && time.Now().After(c.knownFrom[host]) {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// ask sends a new operation, which must get a complete answer.
func (c *calmRun) ask(t *rapid.T) {
	name := rapid.SampledFrom([]string{"read 1", "read 3", "file", "file 3 kB", "file 20 kB"}).Draw(t, "operation")
	op := c.Ledger.Add(operations[name])
	key := c.drawKey(t, op)
	entries := slices.DeleteFunc(c.Hosts(), func(host string) bool {
		return host[0] != 'p' || time.Now().Before(c.usableFrom[host])
	})
	if len(entries) == 0 {
		t.Skip("no entry")
	}
	entry := rapid.SampledFrom(entries).Draw(t, "entry")
	// The node is running when its caller starts. The next action may make it exit
	// before the caller's goroutine has run.
	m := c.Member(entry)
	c.callers.Go(func() {
		c.mustComplete(GracefulCutsNothing, op, c.presentTo(m, op, entry, key, 0))
	})
}

// drainOne starts a drain if another member of the service stays available.
func (c *calmRun) drainOne(t *rapid.T) {
	host := c.host(t)
	if len(c.staying(host[:1])) < 2 || c.leaving[host] {
		t.Skip("the last one")
	}
	c.leaving[host] = true
	_ = c.SetDraining(host, true)
}

func (c *calmRun) undrainOne(t *rapid.T) {
	host := c.host(t)
	if c.leaving[host] {
		c.knownFrom[host] = time.Now().Add(membershipUpdateTimeout)
	}
	c.leaving[host] = false
	_ = c.SetDraining(host, false)
}

func (c *calmRun) exitOne(t *rapid.T) {
	host := c.host(t)
	staying := c.staying(host[:1])
	if len(staying) < 2 && (len(staying) == 0 || staying[0] == host) {
		t.Skip("the last one")
	}
	c.down = append(c.down, c.Member(host).MemberSpec)
	_, _ = c.Exit(context.Background(), host)
}

func (c *calmRun) replace(t *rapid.T) {
	before := c.Hosts()
	c.restart(t)
	for _, host := range c.Hosts() {
		if !slices.Contains(before, host) {
			c.knownFrom[host] = time.Now().Add(membershipUpdateTimeout)
			c.usableFrom[host] = c.knownFrom[host]
		}
	}
}

func (c *calmRun) run(t *rapid.T) {
	actions := map[string]func(*rapid.T){
		"ask": c.ask, "ask 2": c.ask, "ask 3": c.ask, "ask 4": c.ask, "ask 5": c.ask,
		"drain": c.drainOne, "undrain": c.undrainOne, "exit": c.exitOne, "restart": c.replace,
		"edit": c.edit,
	}
	for name, action := range actions {
		actions[name] = func(t *rapid.T) {
			action(t)
			time.Sleep(milliseconds(t, 0, 300, "pause"))
		}
	}
	actions[""] = c.check
	t.Repeat(actions)
	c.callers.Wait()
	time.Sleep(configUpdateTimeout)
	c.fail(t)
}

// Nodes repeatedly drain, exit and are replaced, drains are cancelled, and
// operators edit the configuration concurrently. Every caller must get a complete
// answer, a leaving node must receive no new work, and each accepted
// configuration must be in force on all nodes within five seconds.
func TestComingsAndGoingsCutOffNothing(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		inBubble(t, func(w *world) { newCalmRun(rt, w).run(rt) })
	})
}

// A configuration that is accepted while one node is frozen must reach the other
// nodes in time, and the frozen node in time after it resumes.
func TestConfigurationReachesWhoComesBack(t *testing.T) {
	inBubble(t, func(w *world) {
		w.startAll("portal", 10, nil, "p1", "p2", "p3", "p4", "p5")
		w.settle()
		f := &fuzz{world: w}
		w.Net.Freeze("p5")
		set, err := config.Parse([]byte(profiles), config.YAML)
		if err != nil {
			t.Fatal(err)
		}
		document, err := config.Read(t.Context(), w.Store)
		if err != nil {
			t.Fatal(err)
		}
		result, err := w.Apply(t.Context(), set, config.ApplyOptions{Author: "test", ExpectVersion: document.Set.Version})
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(configUpdateTimeout)
		f.checkInForce([]string{"p1", "p2", "p3", "p4"}, result.Version)
		w.Net.Thaw("p5")
		time.Sleep(configUpdateTimeout)
		f.checkInForce(w.Hosts(), result.Version)
		for _, v := range w.Ledger.Check() {
			t.Error(v)
		}
	})
}
