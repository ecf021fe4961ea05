package node

import (
	"net/http"

	"pollengauge.dev/call"
	"pollengauge.dev/config"
	"pollengauge.dev/customer"
	"pollengauge.dev/observe"
)

// ownership is whose request it is.
type ownership struct {
	key customer.Key
	// customer is nil where there is none.
	customer *customer.Customer
	// version is that of the configuration by which the customer was found.
	version uint64
}

// name is that of the customer, "" where there is none.
func (o *ownership) name() string {
	if o.customer == nil {
		return ""
	}
	return o.customer.Name
}

// identify finds whose request it is by the key that its caller sent. The reason tells
// why it can't be let in, ReasonNone if it can. A key that no customer has is refused
// for good only by a node that knows of no later configuration than its own.
func (n *Node) identify(key customer.Key, profile *config.Profile, current *config.Compiled) (ownership, call.Reason) {
	found := ownership{key: key, customer: current.Customers().Owner(key), version: current.Version()}
	if found.customer != nil || !current.KeyRequired(profile) {
		return found, call.ReasonNone
	}
	if current.KeysUnknown() || n.laterThan(current.Version()) {
		return found, call.ReasonConfigBehind
	}
	return found, call.ReasonUnauthorized
}

// refuseStranger refuses a request that is nobody's.
func (n *Node) refuseStranger(id string, reason call.Reason) *answer {
	n.noteStranger(id, reason)
	if reason == call.ReasonConfigBehind {
		return n.refuse(call.NotRun, reason, behindRetry)
	}
	return n.refuse(call.NotRun, reason, 0)
}

func (n *Node) noteStranger(id string, reason call.Reason) {
	n.metrics.Strangers.With(string(reason)).Inc(1)
	n.log.Emit(observe.Unauthorized, observe.Str("request", call.KeptID(id)), observe.Str("reason", string(reason)), observe.Int64("config", int64(n.ConfigVersion())))
}

// keyTakenAway returns a refusal if no customer has the key of a request any more, nil
// else.
//
// The failure: a request waits, or is tried again, while operators take its key away,
// and is sent on after the time in which that must be in force.
func (n *Node) keyTakenAway(req *request) *answer {
	if req.whose.customer == nil {
		return nil
	}
	current := n.config.Current()
	if current.Version() == req.whose.version {
		return nil
	}
	found, reason := n.identify(req.whose.key, req.profile, current)
	if reason != call.ReasonNone {
		return n.refuseStranger(req.call.RequestID, reason)
	}
	req.whose = found
	return nil
}

// takeKey reads the key of a caller in the project's own interface, and takes it out
// of the headers that are passed on. Without customers the header is the upstream's.
func takeKey(h http.Header, current *config.Compiled) customer.Key {
	if current.Customers().Empty() && !current.KeysUnknown() {
		return customer.Key{}
	}
	key := customer.ReadKey(h, call.HeaderAPIKey)
	h.Del(call.HeaderAPIKey)
	return key
}

// IdentityError tells why a request is nobody's.
type IdentityError struct{ Reason call.Reason }

// Error implements error.
func (e *IdentityError) Error() string { return "no customer for this request: " + string(e.Reason) }
