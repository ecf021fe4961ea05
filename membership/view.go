package membership

import "sync"

// view is an immutable snapshot for readers. The first reader builds the list of living
// members: during a burst of changes there are many more changes than reads.
type view struct {
	all    []*Member // by ID, including gone members
	states [Left + 1]int

	once   sync.Once
	living []Member
}

// members returns the members that are not gone.
func (v *view) members() []Member {
	v.once.Do(func() {
		v.living = make([]Member, 0, v.states[Alive]+v.states[Suspect])
		for _, m := range v.all {
			if !m.State.gone() {
				v.living = append(v.living, *m)
			}
		}
	})
	return v.living
}

// unlockAndPublish publishes a new snapshot if the table changed, releases the lock and
// then calls the subscribers.
func (g *Gossip) unlockAndPublish() {
	changed := g.table.snapshotStale
	if changed {
		g.publish()
	}
	subs := g.subs
	g.mu.Unlock()
	if !changed {
		return
	}
	for _, fn := range subs {
		fn()
	}
}

// publish replaces the snapshot. The lock is held.
func (g *Gossip) publish() {
	v := &view{all: make([]*Member, len(g.table.order))}
	for i, row := range g.table.order {
		if row.published == nil {
			shown := row.m
			row.published = &shown
		}
		v.all[i] = row.published
		v.states[row.m.State]++
	}
	g.table.snapshotStale = false
	g.view.Store(v)
	g.version.Add(1)
}
