package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// MaxTold bounds what one member tells the others at a time: each change goes to all
// of them.
const MaxTold = 16

// Bulletin is what one member tells the others: the latest Records that it gave itself.
// The zero value is empty.
type Bulletin struct {
	mu    sync.Mutex
	posts []post
}

type post struct {
	Record
	at time.Time
}

// Post adds a record, in place of an earlier one of the same request. If there are too
// many, the one with the fewest ends goes, the oldest of them: it was held, and the
// others keep what they have heard.
func (b *Bulletin) Post(r Record, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remove(r.Fingerprint)
	b.posts = append(b.posts, post{Record: r, at: now})
	if len(b.posts) <= MaxTold {
		return
	}
	least := slices.MinFunc(b.posts, func(a, b post) int {
		return cmp.Or(cmp.Compare(a.Ends, b.Ends), a.at.Compare(b.at))
	})
	b.remove(least.Fingerprint)
}

func (b *Bulletin) remove(f Fingerprint) {
	b.posts = slices.DeleteFunc(b.posts, func(p post) bool { return p.Fingerprint == f })
}

// Withdraw removes the record of a request on which another member has given a later
// word, and reports whether there was one.
func (b *Bulletin) Withdraw(f Fingerprint) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	before := len(b.posts)
	b.remove(f)
	return len(b.posts) < before
}

// Sweep removes what need not be told any more, and reports whether there was any.
func (b *Bulletin) Sweep(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	before := len(b.posts)
	b.posts = slices.DeleteFunc(b.posts, func(p post) bool { return now.Sub(p.at) >= tellTime(p.Ends) })
	return len(b.posts) < before
}

// Records returns what is told, in the order in which it was posted.
func (b *Bulletin) Records() []Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	records := make([]Record, 0, len(b.posts))
	for _, p := range b.posts {
		records = append(records, p.Record)
	}
	return records
}
