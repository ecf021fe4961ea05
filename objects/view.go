package objects

// maxTombstones is the number of deleted objects that a view may remember. Above
// it the watcher lists again, which raises the view's floor and so allows the
// view to forget the deleted objects.
const maxTombstones = 4096

// view is a watcher's knowledge of the objects of one kind. It decides which
// events are new to the handler. It does no I/O and must only be used by one
// goroutine.
type view struct {
	seen map[string]mark
	// floor is the revision of the last list. An event with this or a lower
	// revision for an object that is not in seen is outdated: if the object had
	// still existed at that revision, the list would have contained it.
	floor uint64
	// revision is the highest revision seen.
	revision   uint64
	tombstones int
}

// mark is the latest known state of one object.
type mark struct {
	revision uint64
	deleted  bool
}

func newView() *view { return &view{seen: make(map[string]mark)} }

// accept reports whether an event is new, and if so records it. The revision of a
// repeated or late event is not higher than the recorded one. Without this check
// a late event would revert an object to an older value or restore a deleted one.
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

// replace replaces the view with the contents of a list and returns the
// differences as events, including deletions.
func (v *view) replace(kind string, objects []Object, revision uint64) ([]Event, error) {
	// A list from a lagging replica may be older than events that were already
	// handled. Using it would undo changes and delete objects that exist.
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
