package node

import (
	"strconv"
	"strings"
	"unicode"

	"pollengauge.dev/atmostonce"
	"pollengauge.dev/call"
)

const maxName = 63

// validName reports whether s can name a service, a zone or a region: 1 to 63 of a-z,
// 0-9 and -, without - at either end. Every outbound call is checked by it.
func validName(s string) bool {
	if s == "" || len(s) > maxName || s[0] == '-' || s[len(s)-1] == '-' {
		return false
	}
	for i := range len(s) {
		c := s[i]
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' {
			return false
		}
	}
	return true
}

func (c *checker) name(name, value string) {
	if !validName(value) {
		c.add(name, strconv.Quote(value), "1 to 63 of a-z, 0-9 and -, not - at an end")
	}
}

// names checks the service, zone and region of this VM. With a dialect the names come
// from its platform, which has rules of its own: refusing a name for its form would
// stop the process at startup.
func (c *checker) names(s Settings) {
	if s.Dialect == nil {
		c.name("service", s.Service)
		c.name("zone", s.Zone)
		c.name("region", s.Region)
		return
	}
	if s.Service == "" || len(s.Service) > call.MaxOriginLength || strings.ContainsFunc(s.Service, unicode.IsControl) {
		c.add("service", strconv.Quote(s.Service), "1 to "+strconv.Itoa(call.MaxOriginLength)+" bytes without control characters")
	}
	for _, place := range []struct{ name, value string }{{"zone", s.Zone}, {"region", s.Region}} {
		if !call.ValidToken(place.value, maxName) {
			c.add(place.name, strconv.Quote(place.value), "1 to 63 visible ASCII characters")
		}
	}
}

// keyService returns the service in the idempotency keys of this node. With a dialect
// no call has a key, and the service name may have a form that keys can't hold.
func (n *Node) keyService() string {
	if n.usesDialect() && !atmostonce.ValidService(n.settings.Service) {
		return "dialect"
	}
	return n.settings.Service
}
