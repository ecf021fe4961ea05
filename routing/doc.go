// Package routing chooses the target of each call from what this node itself
// measures.
//
// A Router holds a subset of the members of each service, prefers the node's
// own availability zone, spills to the other zones of the region when its own
// is full or refusing, or much slower than a call has time for, and leaves the
// region last. Within a zone it draws two targets at random and takes the one
// with the lower cost. A target that fails, or is far slower than its peers, is left out for a short time and
// probed; never more than half of a service at once, because when all look
// bad the cause is not the target.
//
//	router := routing.NewRouter(routing.Config{Node: id, Zone: zone, Region: region})
//	router.SetTargets(members)
//	picked, err := router.Pick("filing", tried, rand.Uint64(), now)
//	// send the call to picked.Target
//	picked.Done(routing.Feedback{Outcome: outcome, Reason: reason, Latency: took}, now)
//
// Reported load and level are hints: they can turn calls away from a target,
// never towards one that this node measures as worse.
//
// All methods may be called concurrently. Pick takes no lock and allocates
// nothing. Done locks only the target that it is about. The package does no
// I/O; time and randomness come in as values.
package routing
