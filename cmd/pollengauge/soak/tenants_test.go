package soak

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"time"
)

// Headers that carry a customer's API key to the node, and the tenant of a request to
// the upstream.
const (
	headerKey    = "Api-Key"
	headerTenant = "Pollengauge-Tenant"
)

// tenant is a customer of the fleet. A rate of 0 means no limit.
type tenant struct {
	name        string
	keys        []string
	priority    int
	rate, burst float64
}

// tenantsOf returns the tenants of a fleet. The limit of the limited one follows the number
// of VMs, as the requests that it sends do.
func tenantsOf(vms int) []tenant {
	limit := pressRatePerVM * float64(vms)
	return []tenant{
		{name: "city", keys: []string{"soak-key-of-the-city", "soak-key-of-the-city-too"}, priority: 0},
		{name: "press", keys: []string{"soak-key-of-the-press"}, priority: 1, rate: limit, burst: limit},
	}
}

// pressRatePerVM is the limit of the limited tenant, in requests a second for each VM.
const pressRatePerVM = 25.0 / 6

const (
	// pressShare is the share of requests that the limited tenant sends, somewhat
	// over its limit.
	pressShare = 0.1
	// unknownKeyShare is the share of requests with a key that belongs to no tenant.
	unknownKeyShare = 0.01
	unknownKey      = "soak-key-of-nobody"
)

// Tolerance of the tenants' rate limits, as in the fleet's settings.
const (
	quotaWindow = 5 * time.Second
	quotaOver   = 0.1
	quotaSlack  = 20
)

// chooseTenant draws the request's tenant and sets the tenant and its key.
func (s *sent) chooseTenant() {
	tenants := tenantsOf(1)
	of := tenants[0]
	switch draw := rand.Float64(); {
	case draw < unknownKeyShare:
		s.key, s.keyUnknown = unknownKey, true
		return
	case draw < unknownKeyShare+pressShare:
		of = tenants[1]
	}
	s.tenant, s.key = of.name, of.keys[rand.IntN(len(of.keys))]
}

// setTenantHeaders sets the key header, and a forged tenant header that nodes must ignore.
func (s *sent) setTenantHeaders(h http.Header) {
	h.Set(headerKey, s.key)
	h.Set(headerTenant, "somebody")
}

func tenantsConfiguration(vms int) []any {
	var list []any
	for _, t := range tenantsOf(vms) {
		list = append(list, map[string]any{"name": t.name, "api_keys": t.keys, "priority": t.priority, "rate_per_s": t.rate, "burst": t.burst})
	}
	return list
}

// keysSelectTheirTenant checks that each request runs for the tenant whose key it
// carried, that no request with an unknown key runs, and that no key reaches an upstream.
func (j *judgement) keysSelectTheirTenant() {
	for _, x := range j.runs {
		s, ok := j.requests[x.id]
		switch {
		case x.keyed:
			j.add("key", "%s received the key of %s", x.instance, x.id)
		case ok && x.tenant != s.tenant:
			j.add("tenant", "%s received %s for tenant %q, want %q", x.instance, x.id, x.tenant, s.tenant)
		case ok && s.keyUnknown && x.executed:
			j.add("stranger", "%s ran %s, whose key belongs to no tenant", x.instance, x.id)
		}
	}
}

// limitsHold checks that no window has more runs for a tenant than its rate limit and
// the tolerance allow.
func (j *judgement) limitsHold() {
	for _, t := range tenantsOf(j.vms) {
		if t.rate == 0 {
			continue
		}
		var at []time.Time
		for _, x := range j.runs {
			if x.executed && x.tenant == t.name {
				at = append(at, x.at)
			}
		}
		slices.SortFunc(at, time.Time.Compare)
		most := int((t.rate*quotaWindow.Seconds()+t.burst)*(1+quotaOver)) + quotaSlack
		first := 0
		for i, last := range at {
			for last.Sub(at[first]) > quotaWindow {
				first++
			}
			if i-first+1 > most {
				j.add("limit", "%d requests of %s ran in one window, at most %d allowed", i-first+1, t.name, most)
				break
			}
		}
	}
}
