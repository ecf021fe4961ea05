package config

import (
	"path"
	"strings"

	"pollengauge.dev/customer"
)

// Compiled is a Set prepared for lookups on each call. It is immutable.
type Compiled struct {
	set        Set
	hash       string
	byName     map[string]*Profile
	fallback   *Profile
	services   map[string]*rules
	any        *rules
	routes     routes
	customers  *customer.Directory
	priorities priorities
}

// rules are the assignments of one service.
type rules struct {
	byPrefix map[string]*methods
	// longest is the length of the longest prefix.
	longest int
}

// methods are the assignments of one prefix.
type methods struct {
	any      *Profile
	byMethod map[string]*Profile
}

// Compile validates s and prepares it for Match.
func Compile(s Set) (*Compiled, error) {
	encoded, err := Encode(s)
	if err != nil {
		return nil, err
	}
	return compile(s, encoded), nil
}

// compile takes a valid Set. It copies what the caller could still change.
func compile(s Set, encoded []byte) *Compiled {
	s = s.clone()
	c := &Compiled{
		set:      s,
		hash:     Hash(encoded),
		byName:   make(map[string]*Profile, len(s.Profiles)),
		services: make(map[string]*rules),
	}
	for i := range s.Profiles {
		c.byName[s.Profiles[i].Name] = &s.Profiles[i]
	}
	c.fallback = c.byName[DefaultProfileName]
	for _, a := range s.Assignments {
		c.add(a)
	}
	c.any = c.services[AnyService]
	delete(c.services, AnyService)
	c.routes = compileRoutes(s.Routes)
	c.customers = customer.NewDirectory(s.Customers)
	c.priorities = joinPriorities(s.Customers, s.Profiles)
	return c
}

func (c *Compiled) add(a Assignment) {
	match := a.match()
	service := c.services[match.Service]
	if service == nil {
		service = &rules{byPrefix: make(map[string]*methods)}
		c.services[match.Service] = service
	}
	prefix := service.byPrefix[match.PathPrefix]
	if prefix == nil {
		prefix = &methods{byMethod: make(map[string]*Profile)}
		service.byPrefix[match.PathPrefix] = prefix
	}
	service.longest = max(service.longest, len(match.PathPrefix))
	if match.Method == "" {
		prefix.any = c.byName[a.Profile]
		return
	}
	prefix.byMethod[match.Method] = c.byName[a.Profile]
}

// Match returns the profile of a call. It never returns nil: a call that no
// assignment matches has the profile named DefaultProfileName.
//
// The path is taken decoded, as in url.URL.Path.
func (c *Compiled) Match(service, method, requestPath string) *Profile {
	requestPath = cleaned(requestPath)
	if p := c.services[service].match(method, requestPath); p != nil {
		return p
	}
	if p := c.any.match(method, requestPath); p != nil {
		return p
	}
	return c.fallback
}

// cleaned resolves dots and doubled slashes.
//
// Failure: an upstream that cleans paths serves /browse/../filings as a
// filing, while the raw prefix says browsing. Symptom: a filing that is tried
// twice. Most paths have nothing to resolve and skip the work.
func cleaned(requestPath string) string {
	if strings.Contains(requestPath, "//") || strings.Contains(requestPath, "/.") {
		return path.Clean(requestPath)
	}
	return requestPath
}

// match tries each prefix of whole segments, the longest first.
func (r *rules) match(method, requestPath string) *Profile {
	if r == nil {
		return nil
	}
	end := len(requestPath)
	if end > r.longest {
		end = r.cut(requestPath)
	}
	for end > 0 {
		if p := r.byPrefix[requestPath[:end]].match(method); p != nil {
			return p
		}
		end = strings.LastIndexByte(requestPath[:end], '/')
	}
	return r.byPrefix[""].match(method)
}

// cut returns the length of the longest prefix of whole segments that an
// assignment could have. A path of many slashes so costs no more lookups
// than the longest assignment has segments.
func (r *rules) cut(requestPath string) int {
	return strings.LastIndexByte(requestPath[:r.longest+1], '/')
}

func (m *methods) match(method string) *Profile {
	if m == nil {
		return nil
	}
	if p, ok := m.byMethod[method]; ok {
		return p
	}
	return m.any
}

// Profile returns the profile of that name, or nil. A hop below the root
// uses it for the name in the call's context.
func (c *Compiled) Profile(name string) *Profile { return c.byName[name] }

// Version returns the Set's version.
func (c *Compiled) Version() uint64 { return c.set.Version }

// Hash returns the hash of the Set's encoding.
func (c *Compiled) Hash() string { return c.hash }

// Limits returns the Set's limits.
func (c *Compiled) Limits() Limits { return c.set.Limits }

// Profiles returns all profiles. They must not be changed.
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
