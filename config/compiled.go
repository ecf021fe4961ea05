package config

import (
	"path"
	"strings"

	"pollengauge.dev/customer"
)

// Compiled is a Set indexed for the lookups that each call needs. It is immutable.
type Compiled struct {
	set        Set
	hash       string
	byName     map[string]*Profile
	fallback   *Profile
	services   map[string]*serviceRules
	anyService *serviceRules
	routes     routes
	customers  *customer.Directory
	priorities priorityTable
}

// serviceRules are the assignments of one service, indexed by path prefix.
type serviceRules struct {
	byPrefix map[string]*prefixRules
	// longestPrefix is the length of the longest prefix, in bytes.
	longestPrefix int
}

// prefixRules are the assignments of one path prefix, indexed by HTTP method.
type prefixRules struct {
	anyMethod *Profile
	byMethod  map[string]*Profile
}

// Compile validates s and indexes it for Match.
func Compile(s Set) (*Compiled, error) {
	encoded, err := Encode(s)
	if err != nil {
		return nil, err
	}
	return compile(s, encoded), nil
}

// compile indexes a valid Set. It copies s, so that the caller may modify s
// afterwards.
func compile(s Set, encoded []byte) *Compiled {
	s = s.clone()
	c := &Compiled{
		set:      s,
		hash:     Hash(encoded),
		byName:   make(map[string]*Profile, len(s.Profiles)),
		services: make(map[string]*serviceRules),
	}
	for i := range s.Profiles {
		c.byName[s.Profiles[i].Name] = &s.Profiles[i]
	}
	c.fallback = c.byName[DefaultProfileName]
	for _, a := range s.Assignments {
		c.add(a)
	}
	c.anyService = c.services[AnyService]
	delete(c.services, AnyService)
	c.routes = compileRoutes(s.Routes)
	c.customers = customer.NewDirectory(s.Customers)
	c.priorities = newPriorityTable(s.Customers, s.Profiles)
	return c
}

func (c *Compiled) add(a Assignment) {
	match := a.match()
	service := c.services[match.Service]
	if service == nil {
		service = &serviceRules{byPrefix: make(map[string]*prefixRules)}
		c.services[match.Service] = service
	}
	prefix := service.byPrefix[match.PathPrefix]
	if prefix == nil {
		prefix = &prefixRules{byMethod: make(map[string]*Profile)}
		service.byPrefix[match.PathPrefix] = prefix
	}
	service.longestPrefix = max(service.longestPrefix, len(match.PathPrefix))
	if match.Method == "" {
		prefix.anyMethod = c.byName[a.Profile]
		return
	}
	prefix.byMethod[match.Method] = c.byName[a.Profile]
}

// Match returns the profile of a call. It never returns nil: a call that no
// assignment matches has the profile DefaultProfileName.
//
// requestPath must be decoded, as url.URL.Path is.
func (c *Compiled) Match(service, method, requestPath string) *Profile {
	requestPath = cleanPath(requestPath)
	if p := c.services[service].match(method, requestPath); p != nil {
		return p
	}
	if p := c.anyService.match(method, requestPath); p != nil {
		return p
	}
	return c.fallback
}

// cleanPath resolves dot segments and repeated slashes.
//
// An upstream that cleans paths handles /browse/../filings as a filing, while the
// prefix of the raw path selects the browsing profile, under which the filing could
// be retried. Most paths need no cleaning and return unchanged.
func cleanPath(requestPath string) string {
	if strings.Contains(requestPath, "//") || strings.Contains(requestPath, "/.") {
		return path.Clean(requestPath)
	}
	return requestPath
}

// match tries the prefixes of requestPath that end at a segment boundary, longest
// first.
func (r *serviceRules) match(method, requestPath string) *Profile {
	if r == nil {
		return nil
	}
	end := len(requestPath)
	if end > r.longestPrefix {
		end = r.longestCandidate(requestPath)
	}
	for end > 0 {
		if p := r.byPrefix[requestPath[:end]].match(method); p != nil {
			return p
		}
		end = strings.LastIndexByte(requestPath[:end], '/')
	}
	return r.byPrefix[""].match(method)
}

// longestCandidate returns the length of the longest prefix of requestPath that
// ends at a segment boundary and that an assignment could have. This bounds the
// lookups for a path with many slashes by the number of segments of the longest
// assignment.
func (r *serviceRules) longestCandidate(requestPath string) int {
	return strings.LastIndexByte(requestPath[:r.longestPrefix+1], '/')
}

func (m *prefixRules) match(method string) *Profile {
	if m == nil {
		return nil
	}
	if p, ok := m.byMethod[method]; ok {
		return p
	}
	return m.anyMethod
}

// Profile returns the profile with the given name, or nil. Hops downstream of the
// root use it to look up the profile named in the context of the call.
func (c *Compiled) Profile(name string) *Profile { return c.byName[name] }

// Version returns the version of the Set.
func (c *Compiled) Version() uint64 { return c.set.Version }

// Hash returns the hash of the encoded Set, as the function Hash computes it.
func (c *Compiled) Hash() string { return c.hash }

// Limits returns the limits of the Set.
func (c *Compiled) Limits() Limits { return c.set.Limits }

// Profiles returns all profiles. Callers must not modify them.
func (c *Compiled) Profiles() []Profile { return c.set.Profiles }

// Set returns a copy of the Set.
func (c *Compiled) Set() Set { return c.set.clone() }

func (s Set) clone() Set {
	s.Profiles = append([]Profile(nil), s.Profiles...)
	for i := range s.Profiles {
		vary := &s.Profiles[i].Brownout.Vary
		*vary = append([]string(nil), *vary...)
	}
	s.Assignments = append([]Assignment(nil), s.Assignments...)
	s.Routes = append([]Route(nil), s.Routes...)
	for i := range s.Routes {
		s.Routes[i] = s.Routes[i].clone()
	}
	s.Customers = cloneCustomers(s.Customers)
	return s
}
