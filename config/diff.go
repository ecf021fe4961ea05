package config

import (
	"strconv"
	"strings"
)

// DiffOp is the kind of a Difference.
type DiffOp string

// The values of DiffOp.
const (
	Added   DiffOp = "added"
	Removed DiffOp = "removed"
	Changed DiffOp = "changed"
)

// Difference is one difference between two Sets. Profiles are matched by name and
// assignments by what they match, so their order is not compared.
type Difference struct {
	Op DiffOp
	// Path names the part or field, for example profiles[filing].deadline or
	// assignments[filing POST /cases].profile.
	Path string
	// From and To are the old and the new value. From is empty for an added path,
	// To for a removed one.
	From string
	To   string
}

// String formats the difference as one line for operators.
func (d Difference) String() string {
	switch d.Op {
	case Added:
		return "+ " + d.Path + ": " + d.To
	case Removed:
		return "- " + d.Path + ": " + d.From
	}
	return "~ " + d.Path + ": " + d.From + " -> " + d.To
}

// FormatDiff formats the differences, one per line.
func FormatDiff(differences []Difference) string {
	var out strings.Builder
	for _, d := range differences {
		out.WriteString(d.String())
		out.WriteByte('\n')
	}
	return out.String()
}

// Diff returns the differences from Set a to Set b. Each section (profiles,
// assignments, routes, customers, limits) lists its parts in the order of b,
// followed by the parts that only a has. Version, change id, author, comment and
// time are not compared.
func Diff(a, b Set) []Difference {
	var out []Difference
	out = diffItems(out, profileItems(a), profileItems(b))
	out = diffItems(out, assignmentItems(a), assignmentItems(b))
	out = diffItems(out, routeItems(a), routeItems(b))
	out = diffItems(out, customerItems(a), customerItems(b))
	return diffItems(out, limitItems(a), limitItems(b))
}

// item is one named part of a Set, with its fields formatted as text.
type item struct {
	path   string
	fields []field
}

type field struct {
	name  string
	value string
}

func diffItems(out []Difference, from, to []item) []Difference {
	before := make(map[string]item, len(from))
	for _, it := range from {
		before[it.path] = it
	}
	for _, it := range to {
		old, existed := before[it.path]
		delete(before, it.path)
		if !existed {
			out = append(out, Difference{Op: Added, Path: it.path, To: it.summary()})
			continue
		}
		out = diffFields(out, old, it)
	}
	for _, it := range from {
		if _, unmatched := before[it.path]; unmatched {
			out = append(out, Difference{Op: Removed, Path: it.path, From: it.summary()})
		}
	}
	return out
}

// diffFields compares two items with the same path, which always have the same
// fields.
func diffFields(out []Difference, from, to item) []Difference {
	for i, f := range to.fields {
		if old := from.fields[i].value; old != f.value {
			out = append(out, Difference{Op: Changed, Path: to.path + "." + f.name, From: old, To: f.value})
		}
	}
	return out
}

func (it item) summary() string {
	parts := make([]string, len(it.fields))
	for i, f := range it.fields {
		parts[i] = f.name + "=" + f.value
	}
	return strings.Join(parts, " ")
}

func profileItems(s Set) []item {
	items := make([]item, len(s.Profiles))
	for i, p := range s.Profiles {
		items[i] = item{path: "profiles[" + p.Name + "]", fields: profileFields(p)}
	}
	return items
}

func profileFields(p Profile) []field {
	return []field{
		{"priority", strconv.Itoa(p.Priority)},
		{"internal", strconv.FormatBool(p.Internal)},
		{"public", strconv.FormatBool(p.Public)},
		{"unrepeatable", strconv.FormatBool(p.Unrepeatable)},
		{"key", string(p.Key)},
		{"record", string(p.Record)},
		{"deadline", p.Deadline.String()},
		{"target", p.Target.String()},
		{"maxWait", p.MaxWait.String()},
		{"credit", strconv.Itoa(p.Credit)},
		{"brownout.maxAge", p.Brownout.MaxAge.String()},
		{"brownout.vary", strings.Join(p.Brownout.Vary, ",")},
		{"prefer", p.Prefer.String()},
		{"callerHeader", p.CallerHeader},
	}
}

func assignmentItems(s Set) []item {
	items := make([]item, len(s.Assignments))
	for i, a := range s.Assignments {
		m := a.match()
		words := strings.Fields(m.Service + " " + m.Method + " " + m.PathPrefix)
		items[i] = item{path: "assignments[" + strings.Join(words, " ") + "]", fields: []field{{"profile", a.Profile}}}
	}
	return items
}

func limitItems(s Set) []item {
	l := s.Limits
	return []item{{path: "limits", fields: []field{
		{"retryRatio", formatFloat(l.RetryRatio)},
		{"headerBytes", strconv.Itoa(l.HeaderBytes)},
		{"bodyBytes", strconv.Itoa(l.BodyBytes)},
		{"headerTimeout", l.HeaderTimeout.String()},
		{"idleTimeout", l.IdleTimeout.String()},
	}}}
}
