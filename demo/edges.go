package demo

import "sync"

// edgeList holds the edge addresses of each service that clients know. It stands
// in for a name service.
type edgeList struct {
	mu    sync.RWMutex
	addrs map[string][]string
}

func newEdgeList() *edgeList { return &edgeList{addrs: map[string][]string{}} }

func (l *edgeList) addrsOf(service string) []string {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.addrs[service]
}

func (l *edgeList) add(service, addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addrs[service] = append(append([]string(nil), l.addrs[service]...), addr)
}

func (l *edgeList) remove(service, addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var kept []string
	for _, known := range l.addrs[service] {
		if known != addr {
			kept = append(kept, known)
		}
	}
	l.addrs[service] = kept
}
