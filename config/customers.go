package config

import (
	"slices"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"

	"pollengauge.dev/call"
	"pollengauge.dev/customer"
)

// Customers returns the directory that looks up customers of the Set by key.
func (c *Compiled) Customers() *customer.Directory { return c.customers }

// KeysUnknown reports whether some customers could not be read, so that a key which
// matches no customer may still be valid.
func (c *Compiled) KeysUnknown() bool { return c.set.CustomersMissing }

// KeyRequired reports whether callers that use profile p must send the key of a
// customer.
func (c *Compiled) KeyRequired(p *Profile) bool {
	return !p.Public && (!c.customers.Empty() || c.set.CustomersMissing)
}

// PriorityFor returns the priority of a request from the given customer with
// profile p. The priority of the customer is compared first, then the priority of
// the profile. A request without a customer ranks with the customers of the lowest
// priority.
func (c *Compiled) PriorityFor(of *customer.Customer, p *Profile) call.Priority {
	least := c.priorities.least
	if of != nil {
		least = of.Priority
	}
	return c.priorities.of(least, p.Priority)
}

// priorities maps a customer priority and a profile priority to the combined
// priority by which requests are shed.
type priorities struct {
	joined [customer.MaxPriority + 1][call.MaxPriority + 1]call.Priority
	// least is the lowest priority of any customer.
	least int
}

func (p *priorities) of(customer, profile int) call.Priority {
	return p.joined[clampPriority(customer)][clampPriority(profile)]
}

func clampPriority(priority int) int { return min(max(priority, 0), int(call.MaxPriority)) }

// joinPriorities assigns each pair of priorities in use a combined priority,
// ordered by the customer first. If there are more pairs than priorities,
// neighbouring pairs share one and the order is kept.
func joinPriorities(customers []customer.Customer, profiles []Profile) priorities {
	var usedBy, usedOf [call.MaxPriority + 1]bool
	for i := range customers {
		usedBy[clampPriority(customers[i].Priority)] = true
	}
	for i := range profiles {
		usedOf[clampPriority(profiles[i].Priority)] = true
	}
	var p priorities
	p.least = max(slices.Index(usedBy[:], true), 0)
	by, of := ranksOf(usedBy), ranksOf(usedOf)
	pairs := max(by.count, 1) * max(of.count, 1)
	const highest = int(call.MaxPriority)
	for i := range p.joined {
		for j := range p.joined[i] {
			// Ranks are counted from the highest priority.
			place := by.place[i]*max(of.count, 1) + of.place[j]
			switch {
			case by.count <= 1:
				p.joined[i][j] = call.Priority(j)
			case pairs <= highest+1:
				p.joined[i][j] = call.Priority(highest - place)
			default:
				p.joined[i][j] = call.Priority(highest - place*(highest+1)/pairs)
			}
		}
	}
	return p
}

// ranks holds, for each priority, the number of higher priorities in use.
type ranks struct {
	place [call.MaxPriority + 1]int
	count int
}

func ranksOf(used [call.MaxPriority + 1]bool) ranks {
	var r ranks
	for i := len(used) - 1; i >= 0; i-- {
		r.place[i] = r.count
		if used[i] {
			r.count++
		}
	}
	for i := range r.place {
		r.place[i] = min(r.place[i], max(r.count-1, 0))
	}
	return r
}

func (v *validator) customers(s Set) {
	if !v.submitted {
		return
	}
	for _, problem := range customer.Validate(s.Customers) {
		at := "customers"
		if problem.Place >= 0 {
			at += "[" + strconv.Itoa(problem.Place) + "]." + problem.Field
		}
		v.problems = append(v.problems, Problem{Path: at, Value: problem.Customer, Want: problem.Want})
	}
}

func readCustomer(n *yaml.Node, at string, c *customer.Customer) error {
	_, err := readObject(n, at, fields{
		"name": func(n *yaml.Node, at string) error { return readString(n, at, &c.Name) },
		"keyDigests": func(n *yaml.Node, at string) error {
			return readList(n, at, customer.MaxKeys, &c.Keys, readDigest)
		},
		"priority": func(n *yaml.Node, at string) error { return readInt(n, at, &c.Priority) },
		"rate":     func(n *yaml.Node, at string) error { return readFloat(n, at, &c.Rate) },
		"burst":    func(n *yaml.Node, at string) error { return readFloat(n, at, &c.Burst) },
	}, "name", "keyDigests")
	return err
}

// readDigest never includes the value in its error: an operator may have entered a
// key where its digest belongs.
func readDigest(n *yaml.Node, at string, d *customer.Digest) error {
	if n.Kind != yaml.ScalarNode || d.UnmarshalText([]byte(n.Value)) != nil {
		return &ParseError{Line: n.Line, Field: at, Value: "(not shown)", Want: "the digest of a key in quotes, as pollengauge api-key prints it"}
	}
	return nil
}

// shownDigits is the number of leading characters of a digest that a diff shows.
const shownDigits = 8

func customerItems(s Set) []item {
	items := make([]item, len(s.Customers))
	for i, c := range s.Customers {
		keys := make([]string, len(c.Keys))
		for k, digest := range c.Keys {
			keys[k] = digest.String()[:shownDigits]
		}
		items[i] = item{path: "customers[" + c.Name + "]", fields: []field{
			{"keyDigests", strings.Join(keys, ",")},
			{"priority", strconv.Itoa(c.Priority)},
			{"rate", formatFloat(c.Rate)},
			{"burst", formatFloat(c.Burst)},
		}}
	}
	return items
}

// cloneCustomers returns a deep copy of list.
func cloneCustomers(list []customer.Customer) []customer.Customer {
	list = slices.Clone(list)
	for i := range list {
		list[i].Keys = slices.Clone(list[i].Keys)
	}
	return list
}
