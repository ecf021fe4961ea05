// Package routing chooses the target of each call from measurements that this
// node makes with its own calls.
//
// A Router holds a subset of the members of each service and prefers the node's
// own availability zone. Calls spill to the other zones of the region when the
// own zone is full or refusing, or when it is much slower than the time left for
// the call allows; other regions are the last resort. Within a zone the Router
// draws two targets at random and takes the one with the lower cost. A target
// that fails, or is far slower than its peers, is ejected for a short time and
// probed. At most half of a service is ejected at once, because when most
// targets look bad the cause is probably not the targets.
//
//	router := routing.NewRouter(routing.Config{Node: id, Zone: zone, Region: region})
//	router.SetTargets(members)
//	picked, err := router.Pick("filing", tried, rand.Uint64(), now)
//	// send the call to picked.Target
//	picked.Done(routing.Feedback{Outcome: outcome, Reason: reason, Latency: took}, now)
//
// Of two targets whose upstreams report their load (Feedback.Reported), the one
// with the sooner predicted end is taken, and the zones' reported use decides how
// many calls leave the zone. Reports lose their weight within half a second, and
// those that this node's own calls contradict have none. Everything else that
// targets report, Feedback.Load and Feedback.Level, can turn calls away from a
// target, but never towards a target that this node measures as worse.
//
// All methods may be called concurrently. Pick takes no lock and allocates
// nothing. Done locks only the state of its target, and of its service while it
// ejects a target. The package does no I/O; times and random numbers are passed
// in as values.
package routing
