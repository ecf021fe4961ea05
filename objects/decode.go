package objects

import "strings"

// object returns the only object of a reply after checking it against the query.
func (q Query) object(a Answer, r Reply) (Object, error) {
	if len(r.Objects) != 1 {
		return Object{}, q.Malformed(a, "response does not contain exactly one object", nil)
	}
	o := r.Objects[0]
	if problem := q.mismatch(o); problem != "" {
		return Object{}, q.Malformed(a, problem, nil)
	}
	if o.Version <= q.Expected {
		return Object{}, q.Malformed(a, "version did not advance", nil)
	}
	return o, nil
}

// page returns the objects on one page of a list whose names have the query's
// prefix. Names must ascend across pages; otherwise a store that repeats a page
// could make a client list forever.
func (q Query) page(a Answer, r Reply) ([]Object, error) {
	last := q.After
	var matching []Object
	for _, o := range r.Objects {
		if hasForeignName(o) {
			continue
		}
		problem := q.mismatch(o)
		if problem == "" && o.Name <= last {
			problem = "object out of order"
		}
		if problem != "" {
			return nil, q.Malformed(a, problem, nil)
		}
		last = o.Name
		if strings.HasPrefix(o.Name, q.prefix) {
			matching = append(matching, o)
		}
	}
	if r.More && len(r.Objects) == 0 {
		return nil, q.Malformed(a, "empty page announces a next page", nil)
	}
	return matching, nil
}

// events returns the events of a reply to a watch after checking them against
// the query.
func (q Query) events(a Answer, r Reply) ([]Event, error) {
	if r.Revision < q.From {
		return nil, q.Malformed(a, "next revision is lower than the requested one", nil)
	}
	var matching []Event
	for _, e := range r.Events {
		if hasForeignName(e.Object) {
			continue
		}
		if problem := q.mismatch(e.Object); problem != "" {
			return nil, q.Malformed(a, problem, nil)
		}
		matching = append(matching, e)
	}
	return matching, nil
}

// hasForeignName reports whether an object has a name that this project never
// writes or requests. Such an object belongs to another writer, and is
// skipped so that it does not prevent the objects beside it from being read.
func hasForeignName(o Object) bool { return o.Name != "" && !validName(o.Name) }

// mismatch returns the reason why an object cannot be part of the response to q,
// or "" if it can.
func (q Query) mismatch(o Object) string {
	switch {
	case o.Kind != q.Kind:
		return "object of another kind"
	case q.Name != "" && o.Name != q.Name:
		return "object of another name"
	case !validName(o.Name):
		return "object with a malformed name"
	case o.Version == 0 || o.Revision == 0:
		return "object without version or revision"
	}
	return ""
}
