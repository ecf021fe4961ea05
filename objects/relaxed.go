package objects

import "context"

// RelaxedReader is implemented by stores that answer some reads without asking for
// the latest revision. A relaxed read costs the platform a tenth of an exact one, does
// not count toward its rate limits, and may return data that is seconds old.
//
// Use relaxed reads for data that changes rarely or that other sources keep up to date,
// never for a decision that must see the latest write.
type RelaxedReader interface {
	// GetRelaxed is Store.Get for an object that may be seconds old.
	GetRelaxed(ctx context.Context, kind, name string) (Object, error)
	// ListRelaxed is Store.List without a revision, because no watch may continue from
	// a relaxed list.
	ListRelaxed(ctx context.Context, kind, prefix string) ([]Object, error)
}

// GetRelaxed reads one object that may be seconds old. A store without relaxed reads
// returns the latest one.
func GetRelaxed(ctx context.Context, store Store, kind, name string) (Object, error) {
	if relaxed, ok := store.(RelaxedReader); ok {
		return relaxed.GetRelaxed(ctx, kind, name)
	}
	return store.Get(ctx, kind, name)
}

// ListRelaxed reads the objects of a kind, which may be seconds old. A store without
// relaxed reads returns the latest ones.
func ListRelaxed(ctx context.Context, store Store, kind, prefix string) ([]Object, error) {
	if relaxed, ok := store.(RelaxedReader); ok {
		return relaxed.ListRelaxed(ctx, kind, prefix)
	}
	found, _, err := store.List(ctx, kind, prefix)
	return found, err
}
