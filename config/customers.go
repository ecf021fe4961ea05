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

// HasUnreadableCustomers reports whether some customers could not be read, so that a key
// which matches no customer may still be valid.
func (c *Compiled) HasUnreadableCustomers() bool { return c.set.CustomersUnreadable }

// KeyRequired reports whether callers that use profile p must send the key of a
// customer.
func (c *Compiled) KeyRequired(p *Profile) bool {
	return !p.Public && (!c.customers.Empty() || c.set.CustomersUnreadable)
}

// PriorityFor returns the priority of a request from the given customer with
// profile p. The priority of the customer is compared first, then the priority of
// the profile. A request without a customer ranks with the customers of the lowest
// priority.
func (c *Compiled) PriorityFor(from *customer.Customer, p *Profile) call.Priority {
	customerPriority := c.priorities.lowestCustomer
	if from != nil {
		customerPriority = from.Priority
	}
	return c.priorities.combine(customerPriority, p.Priority)
}

// priorityTable maps a customer priority and a profile priority to the combined
// priority by which requests are shed.
type priorityTable struct {
	combined [customer.MaxPriority + 1][call.MaxPriority + 1]call.Priority
	// lowestCustomer is the lowest priority of any customer.
	lowestCustomer int
}

func (p *priorityTable) combine(customer, profile int) call.Priority {
	return p.combined[clampPriority(customer)][clampPriority(profile)]
}

func clampPriority(priority int) int { return min(max(priority, 0), int(call.MaxPriority)) }

// newPriorityTable assigns each pair of priorities in use a combined priority,
// ordered by the customer first. If there are more pairs than priorities,
// neighbouring pairs share one and the order is kept.
func newPriorityTable(customers []customer.Customer, profiles []Profile) priorityTable {
	var customerPriorities, profilePriorities [call.MaxPriority + 1]bool
	for i := range customers {
		customerPriorities[clampPriority(customers[i].Priority)] = true
	}
	for i := range profiles {
		profilePriorities[clampPriority(profiles[i].Priority)] = true
	}
	var p priorityTable
	p.lowestCustomer = max(slices.Index(customerPriorities[:], true), 0)
	customerRanks, profileRanks := ranksOf(customerPriorities), ranksOf(profilePriorities)
	pairs := max(customerRanks.count, 1) * max(profileRanks.count, 1)
	const highest = int(call.MaxPriority)
	for i := range p.combined {
		for j := range p.combined[i] {
			// Ranks are counted from the highest priority.
			rank := customerRanks.above[i]*max(profileRanks.count, 1) + profileRanks.above[j]
			switch {
			case customerRanks.count <= 1:
				p.combined[i][j] = call.Priority(j)
			case pairs <= highest+1:
				p.combined[i][j] = call.Priority(highest - rank)
			default:
				p.combined[i][j] = call.Priority(highest - rank*(highest+1)/pairs)
			}
		}
	}
	return p
}

// ranks holds, for each priority, the number of higher priorities in use.
type ranks struct {
	above [call.MaxPriority + 1]int
	count int
}

func ranksOf(used [call.MaxPriority + 1]bool) ranks {
	var r ranks
	for i := len(used) - 1; i >= 0; i-- {
		r.above[i] = r.count
		if used[i] {
			r.count++
		}
	}
	for i := range r.above {
		r.above[i] = min(r.above[i], max(r.count-1, 0))
	}
	return r
}

func (v *validator) customers(s Set) {
	if !v.submitted {
		return
	}
	for _, problem := range customer.Validate(s.Customers) {
		path := "customers"
		if problem.Place >= 0 {
			path += "[" + strconv.Itoa(problem.Place) + "]." + problem.Field
		}
		v.problems = append(v.problems, Problem{Path: path, Value: problem.Customer, Want: problem.Want})
	}
}

func readCustomer(n *yaml.Node, path string, c *customer.Customer) error {
	_, err := readObject(n, path, fieldReaders{
		"name": func(n *yaml.Node, path string) error { return readString(n, path, &c.Name) },
		"keyDigests": func(n *yaml.Node, path string) error {
			return readList(n, path, customer.MaxKeys, &c.Keys, readDigest)
		},
		"priority": func(n *yaml.Node, path string) error { return readInt(n, path, &c.Priority) },
		"rate":     func(n *yaml.Node, path string) error { return readFloat(n, path, &c.Rate) },
		"burst":    func(n *yaml.Node, path string) error { return readFloat(n, path, &c.Burst) },
		"weight":   func(n *yaml.Node, path string) error { return readWeight(n, path, &c.Weight) },
	}, "name", "keyDigests")
	return err
}

// readWeight reads a weight. A weight of 0 is refused here, because a Customer with that weight is
// one without the field. Other values out of range are problems of the Set.
func readWeight(n *yaml.Node, path string, weight *float64) error {
	if err := readFloat(n, path, weight); err != nil {
		return err
	}
	if *weight == 0 {
		return nodeError(n, path, customer.WeightRange)
	}
	return nil
}

// readDigest reads the digest of a key. Its error never includes the value: an operator
// may have entered a key where its digest belongs.
func readDigest(n *yaml.Node, path string, d *customer.Digest) error {
	if n.Kind != yaml.ScalarNode || d.UnmarshalText([]byte(n.Value)) != nil {
		return &ParseError{Line: n.Line, Field: path, Value: "(not shown)", Want: "the digest of a key in quotes, as pollengauge api-key prints it"}
	}
	return nil
}

// shownDigestChars is the number of leading characters of a digest that a diff shows.
const shownDigestChars = 8

func customerItems(s Set) []item {
	items := make([]item, len(s.Customers))
	for i, c := range s.Customers {
		keys := make([]string, len(c.Keys))
		for k, digest := range c.Keys {
			keys[k] = digest.String()[:shownDigestChars]
		}
		items[i] = item{path: "customers[" + c.Name + "]", fields: []field{
			{"keyDigests", strings.Join(keys, ",")},
			{"priority", strconv.Itoa(c.Priority)},
			{"rate", formatFloat(c.Rate)},
			{"burst", formatFloat(c.Burst)},
			{"weight", formatFloat(c.ShareWeight())},
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
