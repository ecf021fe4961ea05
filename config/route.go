package config

import (
	"slices"
	"strconv"
	"strings"
)

// Limits on routes.
const (
	// MaxRoutes and MaxShares are the maximum numbers of routes and of shares per
	// route in a Set that operators submit; see Validate.
	MaxRoutes = 2048
	MaxShares = 16
	// MaxWeight limits Share.Weight, so that sums of weights can't overflow.
	MaxWeight = 1_000_000
	// maxHostLength is the maximum length of a host name (RFC 1035), in bytes.
	maxHostLength = 253
)

// Route sends the requests for one host and path prefix to a service, or splits
// them among several services by weight. In a Set with routes, callers address
// hosts and paths and need not know services. Among the routes of a host, the one
// with the longest prefix wins.
type Route struct {
	// Name identifies the route to operators.
	Name string `json:"name" yaml:"name"`
	// Host is the host of the request without a port.
	Host string `json:"host" yaml:"host"`
	// PathPrefix begins and ends with a slash. It is compared byte for byte with
	// the path as received.
	PathPrefix string `json:"pathPrefix" yaml:"pathPrefix"`
	// Shares are the services and their weights. A route whose weights are all 0
	// matches requests but can't serve them.
	Shares []Share `json:"shares" yaml:"shares"`
	// Profile is the name of the profile.
	Profile string `json:"profile" yaml:"profile"`
}

// Share is a service and its share of the requests of a route.
type Share struct {
	Service string `json:"service" yaml:"service"`
	// Weight is relative to the sum of the weights of the route. A service with
	// weight 0 gets no requests.
	Weight int `json:"weight" yaml:"weight"`
}

func (v *validator) routes(s Set) {
	v.checkSubmitted(len(s.Routes) <= MaxRoutes, "routes", strconv.Itoa(len(s.Routes)), "at most "+strconv.Itoa(MaxRoutes)+" routes")
	profiles := make(map[string]bool, len(s.Profiles))
	for _, p := range s.Profiles {
		profiles[p.Name] = true
	}
	seen := make(map[routeKey]bool, len(s.Routes))
	for i, r := range s.Routes {
		path := "routes[" + strconv.Itoa(i) + "]"
		v.checkSubmitted(r.Name != "" && len(r.Name) <= MaxPathLength && validText(r.Name), path+".name", r.Name, "1 to 256 bytes of text")
		v.checkSubmitted(validHost(r.Host), path+".host", r.Host, "a host in lower case without a port")
		v.checkSubmitted(validRoutePrefix(r.PathPrefix), path+".pathPrefix", r.PathPrefix, "a path of at most 256 bytes that begins and ends with /")
		v.check(profiles[r.Profile], path+".profile", r.Profile, "the name of a profile")
		v.shares(r.Shares, path+".shares")
		key := routeKey{r.Host, r.PathPrefix}
		v.checkSubmitted(!seen[key], path, r.Host+r.PathPrefix, "a host and prefix that no other route has")
		seen[key] = true
	}
}

func (v *validator) shares(shares []Share, path string) {
	v.checkSubmitted(len(shares) >= 1 && len(shares) <= MaxShares, path, strconv.Itoa(len(shares)), "1 to "+strconv.Itoa(MaxShares)+" services")
	total := 0
	for i, s := range shares {
		sharePath := path + "[" + strconv.Itoa(i) + "]"
		v.checkSubmitted(validName(s.Service), sharePath+".service", s.Service, wantName)
		v.check(s.Weight >= 0 && s.Weight <= MaxWeight, sharePath+".weight", strconv.Itoa(s.Weight), "0 to "+strconv.Itoa(MaxWeight))
		total += max(s.Weight, 0)
	}
	v.checkSubmitted(total > 0, path, strconv.Itoa(total), "weights of which one is above 0")
}

func validHost(s string) bool {
	return s != "" && len(s) <= maxHostLength && !strings.ContainsFunc(s, func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-' && r != '.' && r != '_'
	})
}

func validRoutePrefix(s string) bool {
	return s != "" && len(s) <= MaxPathLength && s[0] == '/' && s[len(s)-1] == '/' && validText(s)
}

// routeKey identifies what a route matches.
type routeKey struct{ host, prefix string }

// routes indexes the routes of a Set by host.
type routes struct {
	byHost map[string]*hostRoutes
}

// hostRoutes indexes the routes of one host by path prefix.
type hostRoutes struct {
	byPrefix map[string]*Route
	// longestPrefix is the length of the longest prefix, in bytes.
	longestPrefix int
}

func compileRoutes(list []Route) routes {
	r := routes{byHost: make(map[string]*hostRoutes)}
	for i := range list {
		route := &list[i]
		host := r.byHost[route.Host]
		if host == nil {
			host = &hostRoutes{byPrefix: make(map[string]*Route)}
			r.byHost[route.Host] = host
		}
		host.byPrefix[route.PathPrefix] = route
		host.longestPrefix = max(host.longestPrefix, len(route.PathPrefix))
	}
	return r
}

// Route returns the route of a request, or nil if there is none. host must be in
// lower case without a port, and path must be the raw path as received, without the
// query.
//
// Route prefixes end with a slash, so Route looks up only the prefixes of path that
// end at a slash, longest first: the cost does not depend on the number of routes.
func (c *Compiled) Route(host, path string) *Route {
	h := c.routes.byHost[host]
	if h == nil {
		return nil
	}
	for end := min(len(path), h.longestPrefix); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			return nil
		}
		if route := h.byPrefix[path[:slash+1]]; route != nil {
			return route
		}
		end = slash
	}
	return nil
}

// UnservedRoutes returns the number of routes whose weights are all 0, and the name of
// the first one.
func (c *Compiled) UnservedRoutes() (count int, first string) {
	for i := range c.set.Routes {
		r := &c.set.Routes[i]
		if slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Weight > 0 }) {
			continue
		}
		if count == 0 {
			first = r.Name
		}
		count++
	}
	return count, first
}

// HasRoutes reports whether the Set has routes, so that callers address hosts and
// paths.
func (c *Compiled) HasRoutes() bool { return len(c.set.Routes) > 0 }

// clone returns a deep copy of r.
func (r Route) clone() Route {
	r.Shares = slices.Clone(r.Shares)
	return r
}

func routeItems(s Set) []item {
	items := make([]item, len(s.Routes))
	for i, r := range s.Routes {
		items[i] = item{path: "routes[" + r.Host + r.PathPrefix + "]", fields: []field{
			{"name", r.Name},
			{"profile", r.Profile},
			{"shares", formatShares(r.Shares)},
		}}
	}
	return items
}

func formatShares(shares []Share) string {
	parts := make([]string, len(shares))
	for i, s := range shares {
		parts[i] = s.Service + ":" + strconv.Itoa(s.Weight)
	}
	return strings.Join(parts, ",")
}
