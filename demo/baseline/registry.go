package baseline

import (
	"math/rand/v2"
	"slices"
	"sync"
)

// Registry is the list of replicas that all forwarders share. Replicas are never
// removed.
type Registry struct {
	mu       sync.RWMutex
	services map[string][]string
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{services: map[string][]string{}} }

// Add adds the inbound address of a replica.
func (r *Registry) Add(service, addr string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.services[service] = append(r.services[service], addr)
}

// pick returns one randomly chosen address per attempt, or nil if the service
// has no replicas. The addresses are distinct if there are enough replicas.
func (r *Registry) pick(service string, attempts int) []string {
	r.mu.RLock()
	addrs := slices.Clone(r.services[service])
	r.mu.RUnlock()
	if len(addrs) == 0 {
		return nil
	}
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	picked := make([]string, attempts)
	for i := range picked {
		picked[i] = addrs[i%len(addrs)]
	}
	return picked
}
