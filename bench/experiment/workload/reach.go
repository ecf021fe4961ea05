package workload

import "slices"

// reach is what one request leads to.
type reach struct {
	// depth is how deep calls go below it, calls how many requests there are
	// with itself. Both are bounded a little above what is allowed.
	depth, calls int
}

// endless is the reach of a route that calls itself.
var endless = reach{depth: maxDepth + 1, calls: maxRequests + 1}

// reachOf follows the calls of a route. known has the routes that were looked
// at, so that a graph in which many ways lead to the same routes takes no longer
// than others; a route that is still being looked at is endless.
func (w *Workload) reachOf(route *Route, known map[string]reach) reach {
	if route == nil {
		return reach{calls: 1}
	}
	if r, ok := known[route.Name]; ok {
		return r
	}
	known[route.Name] = endless
	total := reach{calls: 1}
	for i := range route.Steps {
		for _, name := range slices.Concat(route.Steps[i].InTurn, route.Steps[i].Together) {
			below := w.reachOf(w.Route(name), known)
			total.depth = min(max(total.depth, below.depth+1), maxDepth+1)
			total.calls = min(total.calls+below.calls, maxRequests+1)
		}
	}
	known[route.Name] = total
	return total
}
