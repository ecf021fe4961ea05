package objects

import "context"

// Object is one stored object.
type Object struct {
	Kind string
	Name string
	// Version rises with each write of this object. It never goes back, not
	// even when the object is deleted and created again.
	Version uint64
	// Revision is the store-wide number of the write that made this version.
	// It orders any two writes of the store.
	Revision uint64
	Value    []byte
}

// EventType says what happened to an object.
type EventType uint8

const (
	// EventPut means that the object was created or updated.
	EventPut EventType = iota
	// EventDelete means that it was deleted. The event's object has no value.
	EventDelete
)

// String returns the name used in logs.
func (t EventType) String() string {
	if t == EventDelete {
		return "delete"
	}
	return "put"
}

// Event is one change seen by a watch.
type Event struct {
	Type   EventType
	Object Object
}

// Store is the object API as the rest of the project uses it. Every method
// may be called concurrently, and every error is one of this package's types.
type Store interface {
	// Get reads one object.
	Get(ctx context.Context, kind, name string) (Object, error)
	// List reads all objects of a kind whose name starts with prefix, sorted
	// by name. Watching from the returned revision misses no later change;
	// it may repeat some that the list already shows.
	List(ctx context.Context, kind, prefix string) (objects []Object, revision uint64, err error)
	// Create writes an object that must not exist.
	Create(ctx context.Context, kind, name string, value []byte) (Object, error)
	// Update replaces the value if the stored version still is o.Version.
	Update(ctx context.Context, o Object) (Object, error)
	// Delete removes the object if the stored version still is version.
	Delete(ctx context.Context, kind, name string, version uint64) error
	// Watch is one long poll for changes after the revision from. No events
	// and no error means that nothing happened. Next is the following from.
	Watch(ctx context.Context, kind string, from uint64) (events []Event, next uint64, err error)
}

// Op names one method of Store, in errors and counters.
type Op string

// The methods of Store.
const (
	OpGet    Op = "get"
	OpList   Op = "list"
	OpCreate Op = "create"
	OpUpdate Op = "update"
	OpDelete Op = "delete"
	OpWatch  Op = "watch"
)

// Writes reports whether the operation changes the store.
func (o Op) Writes() bool { return o == OpCreate || o == OpUpdate || o == OpDelete }
