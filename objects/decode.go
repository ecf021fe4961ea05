package objects

import "strings"

// object returns the one object of a reply, checked against the query.
func (q Query) object(a Answer, r Reply) (Object, error) {
	if len(r.Objects) != 1 {
		return Object{}, q.Malformed(a, "not one object", nil)
	}
	o := r.Objects[0]
	if problem := q.problem(o); problem != "" {
		return Object{}, q.Malformed(a, problem, nil)
	}
	if o.Version <= q.Expected {
		return Object{}, q.Malformed(a, "version did not advance", nil)
	}
	return o, nil
}

// page returns the objects of one page of a list that have the prefix. Names
// must ascend across pages, so a store that repeats a page can't keep a client
// listing for ever.
func (q Query) page(a Answer, r Reply) ([]Object, error) {
	last := q.After
	var kept []Object
	for _, o := range r.Objects {
		if foreign(o) {
			continue
		}
		problem := q.problem(o)
		if problem == "" && o.Name <= last {
			problem = "object out of order"
		}
		if problem != "" {
			return nil, q.Malformed(a, problem, nil)
		}
		last = o.Name
		if strings.HasPrefix(o.Name, q.prefix) {
			kept = append(kept, o)
		}
	}
	if r.More && len(r.Objects) == 0 {
		return nil, q.Malformed(a, "an empty page that goes on", nil)
	}
	return kept, nil
}

// events checks the reply to a watch.
func (q Query) events(a Answer, r Reply) ([]Event, error) {
	if r.Revision < q.From {
		return nil, q.Malformed(a, "next revision went back", nil)
	}
	var kept []Event
	for _, e := range r.Events {
		if foreign(e.Object) {
			continue
		}
		if problem := q.problem(e.Object); problem != "" {
			return nil, q.Malformed(a, problem, nil)
		}
		kept = append(kept, e)
	}
	return kept, nil
}

// foreign tells whether an object has a name that this project never gives or asks
// for. It is some other writer's, and must not keep those beside it from being read.
func foreign(o Object) bool { return o.Name != "" && !validName(o.Name) }

// problem tells why an object can't be the answer to q, "" if it can.
func (q Query) problem(o Object) string {
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
