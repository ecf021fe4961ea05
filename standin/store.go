package standin

import (
	"bytes"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"

	"golang.org/x/time/rate"

	"pollengauge.dev/objects"
)

// Memory is an objects.Store that needs no HTTP.
type Memory struct {
	options Options

	mu       sync.Mutex // guards all fields below; one lock is enough at the platform's rates
	rand     *rand.Rand
	faults   Faults
	reads    *rate.Limiter
	writes   *rate.Limiter
	stats    Stats
	objects  map[string]map[string]objects.Object
	revision uint64
	// era counts the restores; see Restore.
	era uint64
	log []delivery
	// replaced lists the states that changes replaced, in order of time.
	replaced []replaced
	// compactedTo is the highest position of the deliveries removed from log.
	compactedTo uint64
	changed     map[string]chan struct{} // closed at the kind's next event
}

// pageLimit is the limit of one response: a number of objects and the bytes of
// their values.
type pageLimit struct{ objects, bytes int }

// NewMemoryWith returns an empty Memory with the given options.
func NewMemoryWith(options Options) *Memory {
	options = options.withDefaults()
	m := &Memory{
		options: options,
		rand:    rand.New(rand.NewPCG(options.Seed, 0)),
		objects: make(map[string]map[string]objects.Object),
		changed: make(map[string]chan struct{}),
		era:     firstEra,
		stats:   Stats{Calls: make(map[objects.Op]uint64)},
	}
	m.SetFaults(Faults{})
	return m
}

// SetFaults replaces the faults and wakes waiting watches, so that the new faults
// apply to them.
func (m *Memory) SetFaults(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reads = newLimiter(f.ReadRate, m.options.ReadRate)
	m.writes = newLimiter(f.WriteRate, m.options.WriteRate)
	if f.Compact {
		m.log = nil
		m.compactedTo = m.revision
		f.Compact = false
	}
	if f.RestoreMillis > 0 {
		m.restore(milliseconds(f.RestoreMillis))
		f.RestoreMillis = 0
	}
	m.faults = f
	for kind := range m.changed {
		m.wakeWatches(kind)
	}
}

// Faults returns the current faults. Counted faults contain the number of
// occurrences left.
func (m *Memory) Faults() Faults {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.faults
}

func (m *Memory) load(kind, name string) (objects.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.objects[kind][name]
	if !ok {
		return objects.Object{}, &objects.NotFoundError{Op: objects.OpGet, Kind: kind, Name: name}
	}
	return clone(o), nil
}

// scan returns one page of the objects whose names start with prefix and sort after
// the name after, in order of their names.
func (m *Memory) scan(kind, prefix, after string, limit pageLimit) (objects []objects.Object, revision uint64, more bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	size := 0
	for _, name := range slices.Sorted(maps.Keys(m.objects[kind])) {
		if !strings.HasPrefix(name, prefix) || name <= after {
			continue
		}
		if len(objects) >= limit.objects || size >= limit.bytes {
			return objects, m.revision, true
		}
		o := clone(m.objects[kind][name])
		size += len(o.Value)
		objects = append(objects, o)
	}
	return objects, m.revision, false
}

// apply executes a create, update or delete if the stored version is o.Version,
// which is 0 for a create.
func (m *Memory) apply(op objects.Op, o objects.Object) (objects.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	stored, ok := m.objects[o.Kind][o.Name]
	if !ok && op != objects.OpCreate {
		return objects.Object{}, &objects.NotFoundError{Op: op, Kind: o.Kind, Name: o.Name}
	}
	if stored.Version != o.Version {
		return objects.Object{}, &objects.ConflictError{Op: op, Kind: o.Kind, Name: o.Name, Expected: o.Version, Current: clone(stored)}
	}
	m.revision++
	m.rememberReplaced(objects.Object{Kind: o.Kind, Name: o.Name, Version: stored.Version, Revision: stored.Revision, Value: stored.Value}, ok)
	o = clone(o)
	// Version and revision are the same number, as on the platform. Versions
	// therefore increase across a delete and a create without a record of the
	// deleted objects.
	o.Revision = m.revision
	o.Version = m.revision
	if op == objects.OpDelete {
		delete(m.objects[o.Kind], o.Name)
		m.publish(objects.Event{Type: objects.EventDelete, Object: o})
		return o, nil
	}
	if m.objects[o.Kind] == nil {
		m.objects[o.Kind] = make(map[string]objects.Object)
	}
	m.objects[o.Kind][o.Name] = o
	m.publish(objects.Event{Type: objects.EventPut, Object: o})
	return clone(o), nil
}

func clone(o objects.Object) objects.Object {
	o.Value = bytes.Clone(o.Value)
	return o
}
