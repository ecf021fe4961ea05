package objects

import "context"

// Object is one stored object.
type Object struct {
	Kind string
	Name string
	// Version increases with each write to this object. Within an era of the store it
	// never decreases, not even when the object is deleted and created again.
	Version uint64
	// Revision is the store-wide number of the write that produced this
	// version. Revisions order all writes to the store within an era.
	Revision uint64
	// Era is the store's era in which Version and Revision were given out, 0 if it is
	// not known.
	Era   uint64
	Value []byte
}

// EventType is the type of a change to an object.
type EventType uint8

const (
	// EventPut means that the object was created or updated.
	EventPut EventType = iota
	// EventDelete means that the object was deleted. The event's object has no
	// value.
	EventDelete
)

// String returns the name of the type as used in logs.
func (t EventType) String() string {
	if t == EventDelete {
		return "delete"
	}
	return "put"
}

// Event is one change to an object, as returned by a watch.
type Event struct {
	Type   EventType
	Object Object
}

// Store is the interface through which the project uses the object API. All
// methods may be called concurrently, and every error has one of this package's
// types.
type Store interface {
	// Get reads one object.
	Get(ctx context.Context, kind, name string) (Object, error)
	// List reads all objects of a kind whose names start with prefix, sorted by
	// name. A watch from the returned revision misses no later change, and may
	// repeat changes that the list already contains.
	List(ctx context.Context, kind, prefix string) (objects []Object, revision uint64, err error)
	// Create writes a new object. It fails if the object exists.
	Create(ctx context.Context, kind, name string, value []byte) (Object, error)
	// Update replaces the value if the stored version is still o.Version. It fails with a
	// *ConflictError if the store has been restored since o.Era, because another write
	// may have been given the same version.
	Update(ctx context.Context, o Object) (Object, error)
	// Delete removes the object if its stored version is still version.
	Delete(ctx context.Context, kind, name string, version uint64) error
	// Watch makes one long poll for changes after the revision from. It returns
	// no events and no error if nothing changed while it waited. Pass next as
	// from to the following call.
	Watch(ctx context.Context, kind string, from uint64) (events []Event, next uint64, err error)
}

// Op is the name of a method of Store, used in errors and counters.
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
