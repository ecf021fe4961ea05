package node

import (
	"net/http"

	"pollengauge.dev/call"
	"pollengauge.dev/config"
	"pollengauge.dev/customer"
	"pollengauge.dev/observe"
)

// ownership identifies the customer that a request belongs to.
type ownership struct {
	key customer.Key
	// customer is nil if the request belongs to no customer.
	customer *customer.Customer
	// version is the version of the configuration in which the customer was looked up.
	version uint64
}

// name returns the customer's name, "" if there is no customer.
func (o *ownership) name() string {
	if o.customer == nil {
		return ""
	}
	return o.customer.Name
}

// identify looks up the customer by the API key that the caller sent. The reason says
// why the request can't be accepted, ReasonNone if it can. A key that no customer has is
// refused permanently only if the node knows of no later configuration than its own.
func (n *Node) identify(key customer.Key, profile *config.Profile, current *config.Compiled) (ownership, call.Reason) {
	found := ownership{key: key, customer: current.Customers().ByKey(key), version: current.Version()}
	if found.customer != nil || !current.KeyRequired(profile) {
		return found, call.ReasonNone
	}
	if current.HasUnreadableCustomers() || n.laterThan(current.Version()) {
		return found, call.ReasonConfigBehind
	}
	return found, call.ReasonUnauthorized
}

// refuseUnidentified refuses a request that can't be attributed to a customer.
func (n *Node) refuseUnidentified(id string, reason call.Reason) *answer {
	n.noteUnidentified(id, reason)
	if reason == call.ReasonConfigBehind {
		return n.refuse(call.NotRun, reason, configBehindRetry)
	}
	return n.refuse(call.NotRun, reason, 0)
}

func (n *Node) noteUnidentified(id string, reason call.Reason) {
	n.metrics.Strangers.With(string(reason)).Inc(1)
	n.log.Emit(observe.Unauthorized, observe.Str("request", call.ShortID(id)), observe.Str("reason", string(reason)), observe.Int64("config", int64(n.ConfigVersion())))
}

// checkKeyRevoked returns a refusal if no customer has the API key of a request any more,
// and nil otherwise.
//
// It prevents this failure: a request waits, or is retried, while operators revoke its
// key, and is sent after the time by which the revocation must be in force.
func (n *Node) checkKeyRevoked(req *request) *answer {
	if req.identity.customer == nil {
		return nil
	}
	current := n.config.Current()
	if current.Version() == req.identity.version {
		return nil
	}
	found, reason := n.identify(req.identity.key, req.profile, current)
	if reason != call.ReasonNone {
		return n.refuseUnidentified(req.call.RequestID, reason)
	}
	req.identity = found
	return nil
}

// removeAPIKey reads the API key of a caller that uses the project's own interface, and
// removes it from the headers that are forwarded. If no customers are configured, the
// header belongs to the upstream and stays.
func removeAPIKey(h http.Header, current *config.Compiled) customer.Key {
	if current.Customers().Empty() && !current.HasUnreadableCustomers() {
		return customer.Key{}
	}
	key := customer.ReadKey(h, call.HeaderAPIKey)
	h.Del(call.HeaderAPIKey)
	return key
}

// IdentityError reports why a request can't be attributed to a customer.
type IdentityError struct{ Reason call.Reason }

// Error implements error.
func (e *IdentityError) Error() string { return "no customer for this request: " + string(e.Reason) }
