package customer

import (
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"
)

// Customer is a customer as operators configure it.
type Customer struct {
	// Name is the name that upstreams receive, 1 to 256 bytes of text.
	Name string `json:"name" yaml:"name"`
	// Keys are the digests of the API keys that the customer's callers may send. A
	// customer without keys can't call.
	Keys []Digest `json:"keyDigests" yaml:"keyDigests"`
	// Priority takes precedence over the profile's priority in the shed order: 0 is
	// shed first, 15 last.
	Priority int `json:"priority" yaml:"priority"`
	// Rate is the number of requests per second that all nodes together forward for the
	// customer. Burst is the number of requests that may arrive at once in addition. A
	// Rate of 0 means no limit.
	Rate  float64 `json:"rate,omitempty" yaml:"rate,omitempty"`
	Burst float64 `json:"burst,omitempty" yaml:"burst,omitempty"`
	// Weight is the customer's part of a service with too few slots, relative to its Rate and
	// to other customers. 0 means that the field is absent; see ShareWeight.
	Weight float64 `json:"weight,omitempty" yaml:"weight,omitempty"`
}

// Bounds of a Customer.
const (
	MaxNameLength = 256
	MaxPriority   = 15
	// MaxRate and MaxBurst keep sums over time far from overflow.
	MaxRate  = 1e9
	MaxBurst = 1e9
	// MaxWeight and DefaultWeight are the highest weight and that of a customer without the
	// field.
	MaxWeight     = 1000
	DefaultWeight = 1
	// MaxKeys is the maximum number of keys of one customer, and MaxCustomers the
	// maximum number of customers, that operators may submit.
	MaxKeys      = 100
	MaxCustomers = 20_000
)

// Limited reports whether the customer has a rate limit.
func (c *Customer) Limited() bool { return c != nil && c.Rate > 0 }

// ShareWeight returns the customer's weight. It is DefaultWeight if the field is absent or, in a
// configuration that was not checked by this build, not valid.
func (c *Customer) ShareWeight() float64 {
	if !ValidWeight(c.Weight) {
		return DefaultWeight
	}
	return c.Weight
}

// ValidWeight reports whether operators may set this weight.
func ValidWeight(weight float64) bool { return weight > 0 && weight <= MaxWeight }

// WeightRange is the range of a weight, for messages to operators.
const WeightRange = "above 0 and up to 1000"

// Validate checks a complete list of customers submitted by an operator and returns all
// problems found.
func Validate(list []Customer) []*Error {
	v := validator{names: make(map[string]bool, len(list)), usedKeys: make(map[Digest]bool)}
	if len(list) > MaxCustomers {
		v.add(-1, strconv.Itoa(len(list)), "customers", "at most "+strconv.Itoa(MaxCustomers))
	}
	for i := range list {
		v.customer(&list[i], i)
	}
	return v.problems
}

type validator struct {
	names    map[string]bool
	usedKeys map[Digest]bool
	problems []*Error
}

func (v *validator) add(place int, customer, field, want string) {
	v.problems = append(v.problems, &Error{Place: place, Customer: customer, Field: field, Want: want})
}

func (v *validator) customer(c *Customer, place int) {
	label := strconv.Quote(c.Name)
	if !ValidName(c.Name) {
		label = "number " + strconv.Itoa(place+1)
		v.add(place, label, "name", "1 to 256 bytes of text without control characters or spaces at an end")
	} else if v.names[c.Name] {
		v.add(place, label, "name", "a name that no other customer has")
	}
	v.names[c.Name] = true
	if len(c.Keys) > MaxKeys {
		v.add(place, label, "keyDigests", "at most "+strconv.Itoa(MaxKeys))
	}
	for i, key := range c.Keys {
		if v.usedKeys[key] {
			v.add(place, label, "keyDigests["+strconv.Itoa(i)+"]", "a key that stands nowhere else in the list")
		}
		v.usedKeys[key] = true
	}
	if c.Priority < 0 || c.Priority > MaxPriority {
		v.add(place, label, "priority", "0 to 15")
	}
	if !(c.Rate >= 0 && c.Rate <= MaxRate) {
		v.add(place, label, "rate", "0 to 1e9 requests a second")
	}
	if !(c.Burst >= 0 && c.Burst <= MaxBurst) {
		v.add(place, label, "burst", "0 to 1e9 requests")
	}
	if c.Weight != 0 && !ValidWeight(c.Weight) {
		v.add(place, label, "weight", WeightRange)
	}
}

// ValidName reports whether s can name a customer and can be sent in a header.
func ValidName(s string) bool {
	return s != "" && len(s) <= MaxNameLength && utf8.ValidString(s) &&
		!strings.ContainsFunc(s, unicode.IsControl) && strings.TrimSpace(s) == s
}
