package standin

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"pollengauge.dev/objects"
)

// maxReplaced bounds the replaced objects that are remembered for stale reads.
const maxReplaced = 4096

// replaced is the state of an object until it changed.
type replaced struct {
	until  time.Time
	object objects.Object
	// existed is false if the change created the object.
	existed bool
	// revision is the store's revision after the change.
	revision uint64
}

// rememberReplaced records the state that a change replaces. The caller holds mu.
func (m *Memory) rememberReplaced(o objects.Object, existed bool) {
	m.replaced = append(m.replaced, replaced{until: time.Now(), object: o, existed: existed, revision: m.revision})
	if extra := len(m.replaced) - maxReplaced; extra > 0 {
		m.replaced = slices.Delete(m.replaced, 0, extra)
	}
}

// staleObjects returns the objects of a kind as they were Faults.StaleMillis ago.
func (m *Memory) staleObjects(kind string) map[string]objects.Object {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stats.Relaxed++
	found := maps.Clone(m.objects[kind])
	asOf := time.Now().Add(-milliseconds(m.faults.StaleMillis))
	for _, change := range slices.Backward(m.replaced) {
		if !change.until.After(asOf) {
			break
		}
		if change.object.Kind != kind {
			continue
		}
		if change.existed {
			found[change.object.Name] = change.object
		} else {
			delete(found, change.object.Name)
		}
	}
	return found
}

// GetRelaxed implements objects.RelaxedReader. The object may be as old as
// Faults.StaleMillis.
func (m *Memory) GetRelaxed(ctx context.Context, kind, name string) (objects.Object, error) {
	if err := objects.CheckAddress(kind, name); err != nil {
		return objects.Object{}, err
	}
	if err := m.read(ctx, objects.OpGet); err != nil {
		return objects.Object{}, err
	}
	o, ok := m.staleObjects(kind)[name]
	if !ok {
		return objects.Object{}, &objects.NotFoundError{Op: objects.OpGet, Kind: kind, Name: name}
	}
	return clone(o), nil
}

// ListRelaxed implements objects.RelaxedReader. The objects may be as old as
// Faults.StaleMillis.
func (m *Memory) ListRelaxed(ctx context.Context, kind, prefix string) ([]objects.Object, error) {
	if err := objects.CheckKind(kind); err != nil {
		return nil, err
	}
	if err := objects.CheckPrefix(prefix); err != nil {
		return nil, err
	}
	if err := m.read(ctx, objects.OpList); err != nil {
		return nil, err
	}
	var found []objects.Object
	for name, o := range m.staleObjects(kind) {
		if strings.HasPrefix(name, prefix) {
			found = append(found, clone(o))
		}
	}
	slices.SortFunc(found, func(a, b objects.Object) int { return cmp.Compare(a.Name, b.Name) })
	return found, nil
}
