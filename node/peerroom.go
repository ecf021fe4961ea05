package node

import "sync"

// peerRoom bounds the calls that this node has at other nodes, each of which
// takes a connection.
//
// Load pattern: a service answers slowly, or one of its nodes does, and the
// calls to it pile up. Left to the transport, a call beyond its bound waits for
// a connection, where no gate counts it, no deadline of the queue holds and no
// other target is tried: with a bound of 48, lookups that ran for 0.35 s took
// 2.2 s (median, over 8 s of a surge), and their requests came too late. Without
// a bound the calls at one slow node take all descriptors. So a call that finds
// no room is given back at once, proved not run, and goes elsewhere.
type peerRoom struct {
	// each and total are the most calls at one node and at all.
	each, total int

	mu     sync.Mutex
	inUse  int
	byAddr map[string]int
}

func newPeerRoom(each, total int) *peerRoom {
	return &peerRoom{each: each, total: total, byAddr: make(map[string]int)}
}

// enter takes room for a call to a node, or reports that there is none.
func (p *peerRoom) enter(addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inUse >= p.total || p.byAddr[addr] >= p.each {
		return false
	}
	p.inUse++
	p.byAddr[addr]++
	return true
}

// leave gives the room back.
func (p *peerRoom) leave(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inUse--
	if p.byAddr[addr]--; p.byAddr[addr] == 0 {
		delete(p.byAddr, addr)
	}
}
