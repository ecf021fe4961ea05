package objects

// maxTombstones bounds what a view remembers of deleted objects. Over it the
// watcher lists again, which moves the floor and frees them.
const maxTombstones = 4096

// view is what a watcher knows of one kind. It decides which events are news;
// it does no I/O and is used by one goroutine.
type view struct {
	seen map[string]mark
	// floor is the revision of the last list. An event at or below it for an
	// object that is not in seen is an old one: had the object still existed
	// then, the list would have shown it.
	floor uint64
	// revision is the highest one seen.
	revision   uint64
	tombstones int
}

// mark is what is remembered of one object.
type mark struct {
	revision uint64
	deleted  bool
}

func newView() *view { return &view{seen: make(map[string]mark)} }

// accept reports whether an event is news, and remembers it. A repeated or
// late event has a revision that is not above the remembered one; without
// this check a late event would bring an older value, or a deleted object, back.
func (v *view) accept(event Event) bool {
	o := event.Object
	known, ok := v.seen[o.Name]
	if ok && o.Revision <= known.revision {
		return false
	}
	if !ok && o.Revision <= v.floor {
		return false
	}
	v.remember(o.Name, mark{revision: o.Revision, deleted: event.Type == EventDelete})
	return true
}

// replace takes a list in and returns what differs from what was known,
// deletions included.
func (v *view) replace(kind string, objects []Object, revision uint64) ([]Event, error) {
	// A list older than what was already handled, as a lagging replica gives
	// it, would undo changes and delete objects that exist.
	if revision < v.revision {
		return nil, &StaleError{Kind: kind, Revision: revision, Seen: v.revision}
	}
	var news []Event
	present := make(map[string]bool, len(objects))
	for _, o := range objects {
		present[o.Name] = true
		if known, ok := v.seen[o.Name]; ok && o.Revision <= known.revision {
			continue
		}
		v.remember(o.Name, mark{revision: o.Revision})
		news = append(news, Event{Type: EventPut, Object: o})
	}
	for name, known := range v.seen {
		if present[name] {
			continue
		}
		if !known.deleted {
			news = append(news, Event{Type: EventDelete, Object: Object{Kind: kind, Name: name, Revision: revision}})
		}
		delete(v.seen, name)
	}
	v.tombstones = 0
	v.floor = revision
	v.advance(revision)
	return news, nil
}

func (v *view) remember(name string, m mark) {
	if v.seen[name].deleted {
		v.tombstones--
	}
	if m.deleted {
		v.tombstones++
	}
	v.seen[name] = m
	v.advance(m.revision)
}

func (v *view) advance(revision uint64) { v.revision = max(v.revision, revision) }

func (v *view) overTombstones() bool { return v.tombstones > maxTombstones }
