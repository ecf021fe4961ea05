package config

import (
	"slices"
	"time"

	"pollengauge.dev/customer"
)

// DefaultProfileName is the name of the profile for calls that no assignment
// matches. Every Set must contain it.
const DefaultProfileName = "default"

// AnyService in an assignment matches all services.
const AnyService = "*"

// Profile controls how one kind of traffic is treated under overload. The profile
// of the root applies to all downstream calls of the request.
type Profile struct {
	// Name identifies the profile in assignments, headers, metrics and traces.
	Name string `json:"name" yaml:"name"`

	// Priority determines only the order of load shedding: 0 is shed first, 15
	// last. Profiles may share a priority; requests of equal priority are ordered
	// by their tie-break. A high priority protects a profile at the expense of all
	// profiles with a lower one, so few profiles should have one.
	Priority int `json:"priority" yaml:"priority"`

	// Internal marks lookups that only serve other services. Downstream of a root
	// they run with the priority of the root; their own priority applies only when
	// they arrive without context. They are exempt from the rule that repeatable
	// profiles rank below unrepeatable ones.
	Internal bool `json:"internal,omitempty" yaml:"internal,omitempty"`

	// Public accepts callers without the key of a customer. Anyone who can reach a
	// node can use the profile, and requests without a key count towards no
	// customer's limit.
	Public bool `json:"public,omitempty" yaml:"public,omitempty"`

	// Unrepeatable marks work that must run at most once. It is retried only after
	// proof that it did not run, so under faults more calls end with an unknown
	// fate than with repeatable profiles.
	Unrepeatable bool `json:"unrepeatable,omitempty" yaml:"unrepeatable,omitempty"`

	// Key is optional or required. With required, a caller that retries on its own
	// can't run a request twice for lack of a key, but clients that can't send
	// Idempotency-Key are rejected.
	Key KeyMode `json:"key" yaml:"key"`

	// Record is none, claim or peer. With claim, the fate survives the loss of the
	// node that owns the key, at the cost of platform writes for each call and of a
	// dependency on the availability of the platform. With peer, another node is
	// notified of the call before dispatch, at the cost of a round trip: if the
	// owner is lost, its calls are still listed but their fates are lost.
	Record RecordMode `json:"record" yaml:"record"`

	// Deadline is the time limit for the complete request, measured from its root.
	// A long deadline lets more requests complete during a short surge; a short one
	// stops work whose caller has stopped waiting.
	Deadline Duration `json:"deadline" yaml:"deadline"`

	// Target is the response time that operators want for most requests, 0 for the
	// deadline. It is only observed: a metric counts the answers within it, and no
	// decision about a request depends on it.
	Target Duration `json:"target,omitempty" yaml:"target,omitempty"`

	// MaxWait is the maximum queueing time at any one hop. A longer wait absorbs
	// short bursts; a shorter one rejects sooner, while the caller can still do
	// something else, and leaves less backlog after a surge.
	MaxWait Duration `json:"maxWait" yaml:"maxWait"`

	// Credit is the number of retries that the whole call chain may make in
	// addition to first attempts. It is split among the calls of the chain and
	// never duplicated. A higher credit hides more isolated faults but adds load
	// when the system is already overloaded.
	Credit int `json:"credit" yaml:"credit"`

	// Brownout allows a stored response in place of a fresh one. There is
	// deliberately no setting that reserves a share of capacity for a low priority:
	// it would shed important work while it admits less important work.
	Brownout Brownout `json:"brownout" yaml:"brownout"`

	// Prefer favours goodput (keep queued work, shed late) or recovery (drop
	// standing queues at once, shed early, and spread returning callers over a
	// longer time).
	Prefer Preference `json:"prefer" yaml:"prefer"`

	// CallerHeader names the request header that identifies a caller for fairness. Empty
	// means the Authorization header, or the remote IP if that is absent. If clients can
	// choose the value freely, one caller can pose as many.
	CallerHeader string `json:"callerHeader,omitempty" yaml:"callerHeader,omitempty"`
}

// ObjectiveTime returns the response time that operators want for most requests: Target, or
// Deadline if there is none.
func (p *Profile) ObjectiveTime() time.Duration {
	if p.Target == 0 {
		return time.Duration(p.Deadline)
	}
	return time.Duration(p.Target)
}

// Brownout controls when stored responses may be served for repeatable reads.
type Brownout struct {
	// MaxAge is the maximum age of a stored response that may be served, 0 to serve
	// none. A higher age answers more requests, with staler data.
	MaxAge Duration `json:"maxAge" yaml:"maxAge"`

	// Vary names the headers that identify a caller. A node serves a stored
	// response only to a request with equal values in all of them, so that no
	// caller sees another caller's data; docs/CONFIG.md lists the other conditions.
	// More headers mean fewer cache hits. Vary must contain Authorization and
	// Cookie.
	Vary []string `json:"vary,omitempty" yaml:"vary,omitempty"`
}

// Assignment assigns a profile to calls. The most specific assignment wins: a named
// service before AnyService, then the longer path prefix, then a named method
// before all methods.
type Assignment struct {
	// Service is the called service, or AnyService.
	Service string `json:"service" yaml:"service"`
	// Method is an HTTP method in capitals; empty matches all methods.
	Method string `json:"method,omitempty" yaml:"method,omitempty"`
	// PathPrefix matches complete path segments: /cases matches /cases and /cases/7
	// but not /casesheet. Empty matches all paths.
	PathPrefix string `json:"pathPrefix,omitempty" yaml:"pathPrefix,omitempty"`
	// Profile is the name of the profile.
	Profile string `json:"profile" yaml:"profile"`
}

// Limits apply to all profiles together.
type Limits struct {
	// RetryRatio limits the retries of a node to this fraction of its first
	// attempts. It caps the retries that all credits together may add: a higher
	// ratio hides more faults, a lower one prevents retries from prolonging a
	// surge.
	RetryRatio float64 `json:"retryRatio" yaml:"retryRatio"`

	// HeaderBytes and BodyBytes limit the size of one request. With 0, the node's
	// own header limit (max-header-bytes) applies and bodies are not limited. Lower
	// limits save the memory of a node for other callers and reject more requests.
	HeaderBytes int `json:"headerBytes,omitempty" yaml:"headerBytes,omitempty"`
	BodyBytes   int `json:"bodyBytes,omitempty" yaml:"bodyBytes,omitempty"`

	// HeaderTimeout is how long the header block of a caller's request may take from its
	// first byte to its last, 0 for the node's own setting. A shorter time frees the
	// memory of blocks that never end, and rejects more slow callers.
	HeaderTimeout Duration `json:"headerTimeout,omitempty" yaml:"headerTimeout,omitempty"`

	// IdleTimeout is how long an idle connection of a caller is kept open, 0 for
	// the node's own setting. A longer timeout saves callers new connections but
	// holds more file descriptors.
	IdleTimeout Duration `json:"idleTimeout,omitempty" yaml:"idleTimeout,omitempty"`
}

// Set is the complete configuration that operators maintain, under one version.
type Set struct {
	// Version is 0 for the embedded default and increases with each accepted
	// change.
	Version uint64 `json:"version" yaml:"version"`
	// ChangeID identifies the change that created this version.
	ChangeID string `json:"changeId,omitempty" yaml:"changeId,omitempty"`
	// Author is the operator who made the change.
	Author string `json:"author,omitempty" yaml:"author,omitempty"`
	// Comment is the reason for the change.
	Comment string `json:"comment,omitempty" yaml:"comment,omitempty"`
	// At is the time of the change by the clock of the operator. No decision
	// depends on it.
	At time.Time `json:"at,omitzero" yaml:"at,omitempty"`

	// Profiles have unique names; one is named DefaultProfileName.
	Profiles []Profile `json:"profiles" yaml:"profiles"`
	// Assignments may be in any order, because the most specific one wins.
	Assignments []Assignment `json:"assignments,omitempty" yaml:"assignments,omitempty"`
	// Routes may be in any order, because the longest prefix wins. They are for
	// deployments whose callers address hosts and paths instead of services.
	Routes []Route `json:"routes,omitempty" yaml:"routes,omitempty"`
	// Customers have unique names. If there are any, callers must send the key of a
	// customer, except for calls whose profile is Public.
	Customers []customer.Customer `json:"customers,omitempty" yaml:"customers,omitempty"`
	// Limits apply to all profiles together.
	Limits Limits `json:"limits" yaml:"limits"`

	// CustomersUnreadable is true if some customers could not be read, so that an
	// unknown key may belong to one of them. A configuration file can't set it.
	CustomersUnreadable bool `json:"customersMissing,omitempty" yaml:"-"`

	// AnyOrder disables the rule that unrepeatable profiles rank above repeatable
	// ones. A configuration file can't set it: it is for Sets translated from
	// another interface, whose operators determine the order by their own ranks.
	AnyOrder bool `json:"anyOrder,omitempty" yaml:"-"`
}

// Defaults for fields that a configuration file omits.
const (
	DefaultDeadline   = Duration(5 * time.Second)
	DefaultCredit     = 2
	DefaultRetryRatio = 0.1
	// maxWaitDivisor divides the deadline to give the default MaxWait.
	maxWaitDivisor = 10
)

// identityHeaders are the headers that Brownout.Vary must contain.
var identityHeaders = []string{"Authorization", "Cookie"}

// NewProfile returns a profile with the default value in every other field.
func NewProfile(name string, priority int) Profile {
	return Profile{
		Name:     name,
		Priority: priority,
		Key:      KeyOptional,
		Record:   RecordNone,
		Deadline: DefaultDeadline,
		MaxWait:  DefaultDeadline / maxWaitDivisor,
		Credit:   DefaultCredit,
		Prefer:   PreferBalanced,
	}
}

// Profile returns the profile with the given name, and whether it exists.
func (s *Set) Profile(name string) (Profile, bool) {
	i := slices.IndexFunc(s.Profiles, func(p Profile) bool { return p.Name == name })
	if i < 0 {
		return Profile{}, false
	}
	return s.Profiles[i], true
}
