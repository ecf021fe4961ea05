package config

import (
	"slices"
	"time"

	"pollengauge.dev/customer"
)

// DefaultProfileName is the profile of calls that no assignment matches.
// Every Set must contain it.
const DefaultProfileName = "default"

// AnyService in an assignment stands for all services.
const AnyService = "*"

// Profile says how one kind of traffic is treated under pressure. The root's
// profile goes with the call down the whole chain.
type Profile struct {
	// Name identifies the profile in assignments, headers, metrics and traces.
	Name string `json:"name" yaml:"name"`

	// Priority is the shed order and nothing else: 0 is shed first, 15 last.
	// Profiles may share a priority; requests of one priority are then told
	// apart by their tie-break. A high priority protects the profile at the
	// cost of every profile below it, so few profiles should have one.
	Priority int `json:"priority" yaml:"priority"`

	// Internal marks lookups that only serve other services. Below a root
	// they run with the root's priority; their own counts only when they
	// arrive without context. They are exempt from the rule that repeatable
	// profiles rank below unrepeatable ones.
	Internal bool `json:"internal,omitempty" yaml:"internal,omitempty"`

	// Public lets callers in without the key of a customer. It opens the profile to
	// anybody who reaches a node, and its requests count towards no limit unless they
	// bring a key.
	Public bool `json:"public,omitempty" yaml:"public,omitempty"`

	// Unrepeatable marks work that must run at most once. It is tried again
	// only after a proof that it did not run, so under faults more calls end
	// with an unknown fate than with repeatable profiles.
	Unrepeatable bool `json:"unrepeatable,omitempty" yaml:"unrepeatable,omitempty"`

	// Key is optional or required. Required closes the gap in which a caller
	// without a key sends its request twice by itself, at the price of
	// refusing clients that can't send Idempotency-Key.
	Key KeyMode `json:"key" yaml:"key"`

	// Record is none, claim or peer. A claim lets the fate outlive the key's
	// home node, at the price of platform writes for each call, and the
	// platform being down counts against it. With peer another node is told
	// before dispatch that the call exists, at the price of a round trip: a lost
	// home's calls stay listed, their fates are not kept.
	Record RecordMode `json:"record" yaml:"record"`

	// Deadline is the time for the whole request, measured from its root. A
	// long one completes more under a short surge; a short one stops work
	// that nobody waits for any more.
	Deadline Duration `json:"deadline" yaml:"deadline"`

	// Target is the time within which an answer has its full worth, 0 for the
	// whole deadline. A queue that would use it up refuses at once instead.
	Target Duration `json:"target,omitempty" yaml:"target,omitempty"`

	// MaxWait is the longest wait in the queue of any one hop. Longer rides
	// out short bursts; shorter refuses sooner, while the caller can still
	// do something else, and leaves less backlog after a surge.
	MaxWait Duration `json:"maxWait" yaml:"maxWait"`

	// Credit is the number of extra attempts for the whole chain, on top of
	// first attempts. It is split and never copied. More hides more single
	// faults, and adds load at the worst moment.
	Credit int `json:"credit" yaml:"credit"`

	// Brownout lets a stored answer stand in for a fresh one. No share of
	// capacity can be kept for a low priority: it would shed important work
	// while it lets less important work in.
	Brownout Brownout `json:"brownout" yaml:"brownout"`

	// Prefer leans towards goodput (keep queued work, shed late) or recovery
	// (drop standing queues at once, shed early, and spread those who come back
	// over a longer time).
	Prefer Preference `json:"prefer" yaml:"prefer"`

	// CallerHeader names the header that tells callers apart for fairness.
	// Empty means the Authorization header (hashed), else the remote IP. A
	// header that clients choose freely lets one caller pose as many.
	CallerHeader string `json:"callerHeader,omitempty" yaml:"callerHeader,omitempty"`
}

// Brownout controls stored answers for repeatable reads.
type Brownout struct {
	// MaxAge is the oldest stored answer that may be given, 0 for never.
	// Older answers keep more screens filled and show staler data.
	MaxAge Duration `json:"maxAge" yaml:"maxAge"`

	// Vary names the headers that identify a caller. A node gives a stored
	// answer only to a request that has the same values in all of them, so no
	// caller sees another's data; docs/CONFIG.md lists what else has to be
	// equal. More headers mean fewer hits. It always contains Authorization
	// and Cookie.
	Vary []string `json:"vary,omitempty" yaml:"vary,omitempty"`
}

// Assignment gives a profile to calls. The most specific one wins: a named
// service before AnyService, then the longer path prefix, then a given
// method before none.
type Assignment struct {
	// Service is the called service, or AnyService.
	Service string `json:"service" yaml:"service"`
	// Method is an HTTP method in capitals; empty for all.
	Method string `json:"method,omitempty" yaml:"method,omitempty"`
	// PathPrefix matches whole path segments: /cases matches /cases and
	// /cases/7 but not /casesheet. Empty matches all.
	PathPrefix string `json:"pathPrefix,omitempty" yaml:"pathPrefix,omitempty"`
	// Profile is the name of the profile.
	Profile string `json:"profile" yaml:"profile"`
}

// Limits are bounds that hold for every profile together.
type Limits struct {
	// RetryRatio bounds a node's retries as a share of its first attempts.
	// It caps what all credits together may add: higher hides more faults,
	// lower keeps a surge from feeding itself.
	RetryRatio float64 `json:"retryRatio" yaml:"retryRatio"`

	// HeaderBytes and BodyBytes bound what a caller may send in one request, 0
	// for the node's own bound (max-header-bytes) and none. Lower keeps a node's
	// memory for other callers, and refuses more requests.
	HeaderBytes int `json:"headerBytes,omitempty" yaml:"headerBytes,omitempty"`
	BodyBytes   int `json:"bodyBytes,omitempty" yaml:"bodyBytes,omitempty"`

	// IdleTimeout is how long a caller's connection is kept without a request,
	// 0 for the node's own time. Longer spares callers new connections, and
	// holds more descriptors.
	IdleTimeout Duration `json:"idleTimeout,omitempty" yaml:"idleTimeout,omitempty"`
}

// Set is everything that operators decide, as one versioned whole.
type Set struct {
	// Version counts accepted changes. 0 is the embedded default.
	Version uint64 `json:"version" yaml:"version"`
	// ChangeID names the change that made this version.
	ChangeID string `json:"changeId,omitempty" yaml:"changeId,omitempty"`
	// Author is who made the change.
	Author string `json:"author,omitempty" yaml:"author,omitempty"`
	// Comment is why.
	Comment string `json:"comment,omitempty" yaml:"comment,omitempty"`
	// At is when, by the operator's clock. Nothing is decided by it.
	At time.Time `json:"at,omitzero" yaml:"at,omitempty"`

	// Profiles are told apart by name; one is named DefaultProfileName.
	Profiles []Profile `json:"profiles" yaml:"profiles"`
	// Assignments may be in any order, as the most specific one wins.
	Assignments []Assignment `json:"assignments,omitempty" yaml:"assignments,omitempty"`
	// Routes may be in any order, as the longest prefix wins. They are for
	// deployments whose callers name hosts and paths instead of services.
	Routes []Route `json:"routes,omitempty" yaml:"routes,omitempty"`
	// Customers are told apart by name. Where there is one, callers must send the key
	// of one, but for calls whose profile is Public.
	Customers []customer.Customer `json:"customers,omitempty" yaml:"customers,omitempty"`
	// Limits hold for all profiles together.
	Limits Limits `json:"limits" yaml:"limits"`

	// CustomersMissing tells that there are customers that could not be read. A key
	// that is not known may then be theirs. A file of this project can't set it.
	CustomersMissing bool `json:"customersMissing,omitempty" yaml:"-"`

	// AnyOrder lifts the rule that unrepeatable profiles rank above repeatable
	// ones. A file of this project can't set it: it is for sets translated from
	// another interface, whose operators' ranks are the order, whatever they are.
	AnyOrder bool `json:"anyOrder,omitempty" yaml:"-"`
}

// Defaults of the fields that a file leaves out.
const (
	DefaultDeadline   = Duration(5 * time.Second)
	DefaultCredit     = 2
	DefaultRetryRatio = 0.1
	// defaultWaitShare: MaxWait is this part of the deadline.
	defaultWaitShare = 10
)

// identityHeaders must be part of Brownout.Vary.
var identityHeaders = []string{"Authorization", "Cookie"}

// NewProfile returns a profile with every default set.
func NewProfile(name string, priority int) Profile {
	return Profile{
		Name:     name,
		Priority: priority,
		Key:      KeyOptional,
		Record:   RecordNone,
		Deadline: DefaultDeadline,
		MaxWait:  DefaultDeadline / defaultWaitShare,
		Credit:   DefaultCredit,
		Prefer:   PreferBalanced,
	}
}

// Profile returns the profile of that name.
func (s *Set) Profile(name string) (Profile, bool) {
	i := slices.IndexFunc(s.Profiles, func(p Profile) bool { return p.Name == name })
	if i < 0 {
		return Profile{}, false
	}
	return s.Profiles[i], true
}
