package objects

// maxTombstones is the number of deleted objects that a view may remember. Above
// it the watcher lists again, which raises the view's listRevision and so allows
// the view to forget the deleted objects.
const maxTombstones = 4096

// view is a watcher's knowledge of the objects of one kind. It decides which
// events are new to the handler. It does no I/O and must only be used by one
// goroutine.
type view struct {
	known map[string]objectState
	// listRevision is the revision of the last list. An event with this or a
	// lower revision for an object that is not in known is outdated: if the
	// object had still existed at that revision, the list would have contained it.
	listRevision uint64
	// revision is the highest revision seen.
	revision   uint64
	tombstones int
}

// objectState is the latest known state of one object.
type objectState struct {
	revision uint64
	deleted  bool
}

func newView() *view { return &view{known: make(map[string]objectState)} }

// recordIfNew reports whether an event is new, and if so records it. The revision
// of a repeated or late event is not higher than the recorded one. Without this
// check a late event would revert an object to an older value or restore a deleted
// one.
func (v *view) recordIfNew(event Event) bool {
	o := event.Object
	known, ok := v.known[o.Name]
	if ok && o.Revision <= known.revision {
		return false
	}
	if !ok && o.Revision <= v.listRevision {
		return false
	}
	v.record(o.Name, objectState{revision: o.Revision, deleted: event.Type == EventDelete})
	return true
}

// forgetRevisions makes the view take whatever the next list contains. It is called when
// the store has been restored: its revisions can't be compared with those from before.
// The names stay, so that the next list shows which objects are gone.
func (v *view) forgetRevisions() {
	for name, state := range v.known {
		state.revision = 0
		v.known[name] = state
	}
	v.revision, v.listRevision = 0, 0
}

// replace replaces the view with the contents of a list and returns the
// differences as events, including deletions.
func (v *view) replace(kind string, objects []Object, revision uint64) ([]Event, error) {
	// A list from a lagging replica may be older than events that were already
	// handled. Using it would undo changes and delete objects that exist.
	if revision < v.revision {
		return nil, &StaleError{Kind: kind, Revision: revision, Seen: v.revision}
	}
	var changes []Event
	present := make(map[string]bool, len(objects))
	for _, o := range objects {
		present[o.Name] = true
		if known, ok := v.known[o.Name]; ok && o.Revision <= known.revision {
			continue
		}
		v.record(o.Name, objectState{revision: o.Revision})
		changes = append(changes, Event{Type: EventPut, Object: o})
	}
	for name, known := range v.known {
		if present[name] {
			continue
		}
		if !known.deleted {
			changes = append(changes, Event{Type: EventDelete, Object: Object{Kind: kind, Name: name, Revision: revision}})
		}
		delete(v.known, name)
	}
	v.tombstones = 0
	v.listRevision = revision
	v.advance(revision)
	return changes, nil
}

func (v *view) record(name string, state objectState) {
	if v.known[name].deleted {
		v.tombstones--
	}
	if state.deleted {
		v.tombstones++
	}
	v.known[name] = state
	v.advance(state.revision)
}

func (v *view) advance(revision uint64) { v.revision = max(v.revision, revision) }

func (v *view) hasTooManyTombstones() bool { return v.tombstones > maxTombstones }
