package atmostonce

// Counts returns the number of keys in each state.
func (t *Table) Counts() map[State]int {
	counts := make(map[State]int)
	for _, s := range t.shards {
		s.mu.Lock()
		for _, e := range s.entries {
			counts[e.state]++
		}
		s.mu.Unlock()
	}
	return counts
}
