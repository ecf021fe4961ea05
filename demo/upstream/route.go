package upstream

import (
	"math"
	"math/rand/v2"
	"net/http"
	"time"
)

// Distribution is a log-normal distribution of service times.
type Distribution struct {
	// Median is the median service time.
	Median time.Duration
	// Sigma is the standard deviation of the logarithm; with 0 every draw
	// returns the median. About 0.4 is typical of a query against a warm
	// cache; above 1 the tail dominates the mean.
	Sigma float64
}

// Draw returns a random service time.
func (d Distribution) Draw(r *rand.Rand) time.Duration {
	return time.Duration(float64(d.Median) * math.Exp(d.Sigma*r.NormFloat64()))
}

// Mean returns the expected service time.
func (d Distribution) Mean() time.Duration {
	return time.Duration(float64(d.Median) * math.Exp(d.Sigma*d.Sigma/2))
}

// Call is one call to another service.
type Call struct {
	Service string
	Route   string
}

// Step is one stage of a route: its own work, or calls made in parallel.
type Step struct {
	// Work is the service time of the step; it is ignored if the step has
	// Calls.
	Work Distribution
	// Calls are sent in parallel, and all must complete.
	Calls []Call
}

// Route defines how requests to one path are executed. The steps of a request
// run in order and occupy one worker, as in a thread-per-request server.
type Route struct {
	// Once marks work that must not run twice for one operation. Once routes
	// accept POST, all others GET.
	Once  bool
	Steps []Step
}

// Method returns the HTTP method of the route.
func (r Route) Method() string {
	if r.Once {
		return http.MethodPost
	}
	return http.MethodGet
}

// Routes are the routes of one service by name; route "x" has path "/x".
type Routes map[string]Route

// Graph is the call graph of a deployment: the routes of every service.
type Graph map[string]Routes

// Validate checks that every call has a target, that no route calls itself, and
// that any route reaches a Once route at most once, because the ledger counts
// the runs of a Once route per operation. It returns a *RouteError if a check
// fails.
func (g Graph) Validate() error {
	for service, routes := range g {
		for name := range routes {
			seen := map[Call]int{}
			if err := g.walk(Call{Service: service, Route: name}, seen, 0); err != nil {
				return err
			}
			for call, count := range seen {
				if g[call.Service][call.Route].Once && count > 1 {
					return &RouteError{Service: call.Service, Route: call.Route, Problem: "marked once but reached twice from " + service + "/" + name}
				}
			}
		}
	}
	return nil
}

const maxGraphDepth = 16

func (g Graph) walk(call Call, seen map[Call]int, depth int) error {
	route, ok := g[call.Service][call.Route]
	if !ok {
		return &RouteError{Service: call.Service, Route: call.Route, Problem: "called but not served"}
	}
	if depth > maxGraphDepth {
		return &RouteError{Service: call.Service, Route: call.Route, Problem: "calls itself"}
	}
	seen[call]++
	for _, step := range route.Steps {
		for _, next := range step.Calls {
			if err := g.walk(next, seen, depth+1); err != nil {
				return err
			}
		}
	}
	return nil
}

// Reached returns every service and route that one request to root calls,
// including root, with the number of calls. It returns nil if the graph is
// invalid.
func (g Graph) Reached(root Call) map[Call]int {
	seen := map[Call]int{}
	if err := g.walk(root, seen, 0); err != nil {
		return nil
	}
	return seen
}
