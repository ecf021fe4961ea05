package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// MaxAnnounced bounds the Records that one member announces at a time, because each change
// is sent to all members.
const MaxAnnounced = 16

// Announcements is the set of Records that one member announces to the others: the latest
// ones that it created itself. The zero value is empty.
type Announcements struct {
	mu    sync.Mutex
	posts []post
}

type post struct {
	Record
	at time.Time
}

// Post adds a record, replacing an earlier one of the same request. If there are too
// many, it removes the record with the fewest crashes, and among those the oldest: the
// other members have received it by then and retain it.
func (b *Announcements) Post(r Record, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remove(r.Fingerprint)
	b.posts = append(b.posts, post{Record: r, at: now})
	if len(b.posts) <= MaxAnnounced {
		return
	}
	least := slices.MinFunc(b.posts, func(a, b post) int {
		return cmp.Or(cmp.Compare(a.Ends, b.Ends), a.at.Compare(b.at))
	})
	b.remove(least.Fingerprint)
}

func (b *Announcements) remove(f Fingerprint) {
	b.posts = slices.DeleteFunc(b.posts, func(p post) bool { return p.Fingerprint == f })
}

// Withdraw removes the record of a request for which another member has announced a
// newer one. It reports whether there was a record to remove.
func (b *Announcements) Withdraw(f Fingerprint) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	before := len(b.posts)
	b.remove(f)
	return len(b.posts) < before
}

// Sweep removes the records that no longer need to be announced, and reports whether
// there were any.
func (b *Announcements) Sweep(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	before := len(b.posts)
	b.posts = slices.DeleteFunc(b.posts, func(p post) bool { return now.Sub(p.at) >= announceTime(p.Ends) })
	return len(b.posts) < before
}

// Records returns the announced records in the order in which they were posted.
func (b *Announcements) Records() []Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	records := make([]Record, 0, len(b.posts))
	for _, p := range b.posts {
		records = append(records, p.Record)
	}
	return records
}
