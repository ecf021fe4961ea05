package workload

import (
	"time"

	"pollengauge.dev/node"
)

// Workload is one whole experiment without its variants.
type Workload struct {
	Name string
	// Length is how long callers begin operations.
	Length time.Duration
	// Warm is the first part of Length, which is played and not counted.
	Warm time.Duration
	// RetryRatio bounds a node's retries on a service as a share of its first
	// attempts.
	RetryRatio float64
	Network    Network
	Services   []Service
	Routes     []Route
	Kinds      []Kind
	Callers    []Callers
	Load       []Phase
	Faults     []Fault
	// Ablate are the mechanisms that the nodes go without.
	Ablate node.Ablation
}

// Network are the distances. Replicas are spread over the zones in turn.
type Network struct {
	Zones int
	// ZoneDelay is one way between two zones.
	ZoneDelay time.Duration
	// ConnectDelay is what a new connection to another VM costs.
	ConnectDelay time.Duration
}

// Service is a service with one upstream and one node on each of its VMs.
type Service struct {
	Name     string
	Replicas int
	// Slots is how many requests an upstream runs at once. One that waits for
	// its calls holds its slot.
	Slots int
	// Speeds divide the work of the replicas, in turn. Empty is 1 for all.
	Speeds []float64
}

// Speed is that of one replica.
func (s *Service) Speed(replica int) float64 {
	if len(s.Speeds) == 0 {
		return 1
	}
	return s.Speeds[replica%len(s.Speeds)]
}

// Route is what a request does at one service.
type Route struct {
	Name    string
	Service string
	// Unrepeatable marks requests that must not run twice.
	Unrepeatable bool
	// Attempts bounds the upstreams that a request is sent to.
	Attempts int
	// Steps run one after another.
	Steps []Step
}

// Step is exactly one of its fields.
type Step struct {
	// Work is the upstream's own.
	Work Work
	// InTurn names routes that are called one after another.
	InTurn []string
	// Together names routes that are called at once.
	Together []string
}

// Work is a log-normal time.
type Work struct {
	Median time.Duration
	// Sigma is the spread of the logarithm.
	Sigma float64
}

// Kind is one kind of operation that callers begin.
type Kind struct {
	Name  string
	Route string
	// From is the service beside whose VMs the callers are. Empty is the
	// route's own service.
	From string
	// Rank is 0 for what is refused last, up to 15.
	Rank int
	// Objective is the time within which an answer has its full worth.
	Objective time.Duration
	// Deadline is when it has none any more, and when nodes give up a try.
	Deadline time.Duration
	// Worth of one operation that is answered within its objective.
	Worth float64
	// Rate is in operations a second where no phase changes it.
	Rate float64
	// Callers names the habits of those who send it.
	Callers string
}

// WorthAfter is what an answer is worth that took so long: all up to the
// objective, then less in a straight line, nothing from the deadline on.
func (k *Kind) WorthAfter(took time.Duration) float64 {
	switch {
	case took <= k.Objective:
		return k.Worth
	case took >= k.Deadline:
		return 0
	}
	return k.Worth * float64(k.Deadline-took) / float64(k.Deadline-k.Objective)
}

// Callers are the habits of those who send a kind.
type Callers struct {
	Name string
	// Tries bounds the tries of one operation, the first included. A kind that
	// is unrepeatable is only tried again after an answer that it did not run.
	Tries int
	// Timeout is how long they wait for one try.
	Timeout time.Duration
	// Backoff is their wait before the next try.
	Backoff time.Duration
	// Impatient callers don't wait as long as an answer's Retry-After says.
	Impatient bool
}

// Phase multiplies the rate of kinds for a time. Of phases that overlap the
// factors are multiplied.
type Phase struct {
	From, To time.Duration
	Factor   float64
	// Kinds that it holds for; empty is all.
	Kinds []string
}

// FaultKind names what breaks.
type FaultKind string

// What can break.
const (
	// Slow makes the work of upstreams longer by a factor.
	Slow FaultKind = "slow"
	// Freeze holds up all that VMs send and are sent.
	Freeze FaultKind = "freeze"
	// Crash takes VMs away, and starts them anew at its end.
	Crash FaultKind = "crash"
	// Cut breaks all connections between two services.
	Cut FaultKind = "cut"
	// Delay makes the ways to and from VMs longer.
	Delay FaultKind = "delay"
	// Limit makes upstreams name a limit on the requests that they take.
	Limit FaultKind = "limit"
	// Leave makes upstreams state that they leave, and replaces them at its end.
	Leave FaultKind = "leave"
)

// Fault is one thing that breaks for a time.
type Fault struct {
	Kind FaultKind
	At   time.Duration
	For  time.Duration
	// Service is whose VMs it hits, Replicas which of them; empty is all.
	Service  string
	Replicas []int
	// Factor is that of Slow.
	Factor float64
	// With is the other service of Cut.
	With string
	// Delay is that of Delay, one way.
	Delay time.Duration
	// Rate is that of Limit, in requests a second.
	Rate float64
}

// Service returns the service of that name, nil if there is none.
func (w *Workload) Service(name string) *Service {
	return find(w.Services, func(s *Service) bool { return s.Name == name })
}

// Route returns the route of that name, nil if there is none.
func (w *Workload) Route(name string) *Route {
	return find(w.Routes, func(r *Route) bool { return r.Name == name })
}

// Kind returns the kind of that name, nil if there is none.
func (w *Workload) Kind(name string) *Kind {
	return find(w.Kinds, func(k *Kind) bool { return k.Name == name })
}

// Caller returns the habits of that name, nil if there are none.
func (w *Workload) Caller(name string) *Callers {
	return find(w.Callers, func(c *Callers) bool { return c.Name == name })
}

func find[T any](list []T, is func(*T) bool) *T {
	for i := range list {
		if is(&list[i]) {
			return &list[i]
		}
	}
	return nil
}

// CallerService is the service beside whose VMs a kind's callers are.
func (w *Workload) CallerService(k *Kind) string {
	if k.From != "" {
		return k.From
	}
	return w.Route(k.Route).Service
}

// Nodes is how many VMs there are.
func (w *Workload) Nodes() int {
	sum := 0
	for _, s := range w.Services {
		sum += s.Replicas
	}
	return sum
}

// RateAt is how many operations of a kind begin in a second at a time.
func (w *Workload) RateAt(k *Kind, at time.Duration) float64 {
	rate := k.Rate
	for _, p := range w.Load {
		if at >= p.From && at < p.To && p.holdsFor(k.Name) {
			rate *= p.Factor
		}
	}
	return rate
}

func (p *Phase) holdsFor(kind string) bool {
	if len(p.Kinds) == 0 {
		return true
	}
	return find(p.Kinds, func(name *string) bool { return *name == kind }) != nil
}
