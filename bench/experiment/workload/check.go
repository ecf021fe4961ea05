package workload

import (
	"math"
	"regexp"
	"slices"
	"strconv"
	"time"
)

// Bounds of a workload, so that a slip of the pen doesn't take the machine.
const (
	maxName     = 56
	maxReplicas = 1000
	maxNodes    = 2000
	maxSlots    = 10_000
	maxZones    = 16
	maxLength   = time.Hour
	maxDelay    = 10 * time.Second
	maxRank     = 15
	maxAttempts = 17
	maxTries    = 100
	maxSteps    = 64
	maxCalls    = 64
	maxDepth    = 16
	// maxRequests bounds what one operation leads to.
	maxRequests = 1000
	maxRate     = 100_000
	maxFactor   = 1000
	maxSigma    = 3
	maxWorth    = 1e6
	// minDeadline is the shortest deadline that nodes take.
	minDeadline   = 10 * time.Millisecond
	maxDeadline   = 10 * time.Minute
	maxRetryRatio = 0.5
	// maxOperations bounds what one play has to keep.
	maxOperations = 20_000_000
)

var validName = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,54}[a-z0-9])?$`)

const wantName = "a name of its own, 1 to 56 of a-z, 0-9 and -, not - at an end"

func (r *reader) expect(ok bool, at, value, want string) {
	if !ok {
		r.refuse(r.line(at), at, value, want)
	}
}

func (r *reader) expectInt(at string, value, low, high int) {
	r.expect(value >= low && value <= high, at, strconv.Itoa(value), strconv.Itoa(low)+" to "+strconv.Itoa(high))
}

func (r *reader) expectFloat(at string, value, low, high float64) {
	r.expect(value >= low && value <= high, at, formatFloat(value), formatFloat(low)+" to "+formatFloat(high))
}

func (r *reader) expectDuration(at string, value, low, high time.Duration) {
	r.expect(value >= low && value <= high, at, value.String(), low.String()+" to "+high.String())
}

func formatFloat(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

// names checks that each item of a list has a name of its own.
func names[T any](r *reader, field string, items []T, name func(*T) string) {
	r.expect(len(items) > 0, field, "", "one item or more")
	seen := make(map[string]bool)
	for i := range items {
		own := name(&items[i])
		r.expect(validName.MatchString(own) && !seen[own], item(field, i)+".name", own, wantName)
		seen[own] = true
	}
}

func item(field string, i int) string { return field + "[" + strconv.Itoa(i) + "]" }

// check looks at everything that the types alone don't tell.
func (r *reader) check(w *Workload) {
	r.expect(validName.MatchString(w.Name), "name", w.Name, wantName)
	r.expectDuration("length", w.Length, time.Second, maxLength)
	r.expectDuration("warm", w.Warm, 0, max(w.Length-time.Second, 0))
	r.expectFloat("retryRatio", w.RetryRatio, 0, maxRetryRatio)
	r.expectInt("network.zones", w.Network.Zones, 1, maxZones)
	r.expectDuration("network.zoneDelay", w.Network.ZoneDelay, 0, maxDelay)
	r.expectDuration("network.connectDelay", w.Network.ConnectDelay, 0, maxDelay)
	names(r, "services", w.Services, func(s *Service) string { return s.Name })
	names(r, "routes", w.Routes, func(s *Route) string { return s.Name })
	names(r, "kinds", w.Kinds, func(k *Kind) string { return k.Name })
	names(r, "callers", w.Callers, func(c *Callers) string { return c.Name })
	r.checkServices(w)
	r.checkRoutes(w)
	r.checkCallers(w)
	r.checkKinds(w)
	r.checkLoad(w)
	r.checkFaults(w)
	if len(r.problems) == 0 {
		r.checkSize(w)
	}
}

func (r *reader) checkServices(w *Workload) {
	for i, s := range w.Services {
		at := item("services", i)
		r.expectInt(at+".replicas", s.Replicas, 1, maxReplicas)
		r.expectInt(at+".slots", s.Slots, 1, maxSlots)
		for j, speed := range s.Speeds {
			r.expectFloat(item(at+".speeds", j), speed, 0.01, 100)
		}
	}
	r.expectInt("services", w.Nodes(), 1, maxNodes)
}

func (r *reader) checkRoutes(w *Workload) {
	for i := range w.Routes {
		route := &w.Routes[i]
		at := item("routes", i)
		r.expect(w.Service(route.Service) != nil, at+".service", route.Service, "a service")
		r.expectInt(at+".attempts", route.Attempts, 1, maxAttempts)
		r.expect(len(route.Steps) >= 1 && len(route.Steps) <= maxSteps, at+".steps", strconv.Itoa(len(route.Steps)), "1 to 64 steps")
		for j := range route.Steps {
			r.checkStep(w, item(at+".steps", j), &route.Steps[j])
		}
		reach := w.reachOf(route, make(map[string]reach))
		r.expect(reach.depth <= maxDepth, at, route.Name, "calls that end, at most 16 deep")
		r.expect(reach.calls <= maxRequests, at, route.Name, "at most 1000 requests in all")
	}
}

func (r *reader) checkStep(w *Workload, at string, s *Step) {
	filled := 0
	for _, is := range []bool{s.Work.Median > 0, len(s.InTurn) > 0, len(s.Together) > 0} {
		if is {
			filled++
		}
	}
	r.expect(filled == 1, at, "", "exactly one of work, inTurn and together")
	r.expectFloat(at+".sigma", s.Work.Sigma, 0, maxSigma)
	r.expectDuration(at+".work", s.Work.Median, 0, maxDeadline)
	for _, calls := range []struct {
		field string
		names []string
	}{{".inTurn", s.InTurn}, {".together", s.Together}} {
		r.expectInt(at+calls.field, len(calls.names), 0, maxCalls)
		for i, name := range calls.names {
			r.expect(w.Route(name) != nil, item(at+calls.field, i), name, "a route")
		}
	}
}

func (r *reader) checkCallers(w *Workload) {
	for i, c := range w.Callers {
		at := item("callers", i)
		r.expectInt(at+".tries", c.Tries, 1, maxTries)
		r.expectDuration(at+".timeout", c.Timeout, time.Millisecond, maxDeadline)
		r.expectDuration(at+".backoff", c.Backoff, 0, maxDeadline)
	}
}

func (r *reader) checkKinds(w *Workload) {
	for i, k := range w.Kinds {
		at := item("kinds", i)
		r.expect(w.Route(k.Route) != nil, at+".route", k.Route, "a route")
		r.expect(k.From == "" || w.Service(k.From) != nil, at+".from", k.From, "a service")
		r.expect(w.Caller(k.Callers) != nil, at+".callers", k.Callers, "callers")
		r.expectInt(at+".rank", k.Rank, 0, maxRank)
		r.expectDuration(at+".deadline", k.Deadline, minDeadline, maxDeadline)
		r.expectDuration(at+".objective", k.Objective, time.Millisecond, max(k.Deadline, time.Millisecond))
		r.expectFloat(at+".worth", k.Worth, 0, maxWorth)
		r.expectFloat(at+".rate", k.Rate, 0, maxRate)
	}
}

func (r *reader) checkLoad(w *Workload) {
	for i, p := range w.Load {
		at := item("load", i)
		r.expectDuration(at+".from", p.From, 0, w.Length)
		r.expect(p.To > p.From, at+".to", p.To.String(), "a time after from")
		r.expectFloat(at+".factor", p.Factor, 0, maxFactor)
		for j, name := range p.Kinds {
			r.expect(w.Kind(name) != nil, item(at+".kinds", j), name, "a kind")
		}
	}
}

func (r *reader) checkFaults(w *Workload) {
	for i := range w.Faults {
		f := &w.Faults[i]
		at := item("faults", i)
		r.expect(slices.Contains([]FaultKind{Slow, Freeze, Crash, Cut, Delay, Limit, Leave}, f.Kind), at+".kind", string(f.Kind), "slow, freeze, crash, cut, delay, limit or leave")
		r.expectDuration(at+".at", f.At, 0, w.Length)
		r.expectDuration(at+".for", f.For, time.Millisecond, maxLength)
		service := w.Service(f.Service)
		r.expect(service != nil, at+".service", f.Service, "a service")
		for j, replica := range f.Replicas {
			r.expect(service != nil && replica >= 0 && replica < service.Replicas, item(at+".replicas", j), strconv.Itoa(replica), "the number of a replica, from 0")
		}
		r.expectFloat(at+".factor", f.Factor, 0.01, maxFactor)
		r.expectDuration(at+".delay", f.Delay, 0, maxDelay)
		r.expectFloat(at+".rate", f.Rate, 0, maxRate)
		r.expect(f.Kind != Slow || f.Factor != defaultFactor, at+".factor", formatFloat(f.Factor), "how many times slower")
		r.expect(f.Kind != Cut || w.Service(f.With) != nil, at+".with", f.With, "a service")
		r.expect(f.Kind != Delay || f.Delay > 0, at+".delay", f.Delay.String(), "more than 0s")
	}
}

// checkSize bounds the operations of one play.
func (r *reader) checkSize(w *Workload) {
	sum := 0.0
	for at := time.Duration(0); at < w.Length; at += time.Second {
		for i := range w.Kinds {
			sum += w.RateAt(&w.Kinds[i], at)
		}
	}
	r.expect(sum > 0 && sum <= maxOperations, "kinds", formatFloat(math.Round(sum)), "1 to 20000000 operations")
}
