package memnet

import "time"

// CutAfter breaks each open connection between two hosts once host from has written
// that many more bytes to host to. It also applies to the next connection that is
// opened.
func (n *Network) CutAfter(from, to string, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.quotas[[2]string{from, to}] = bytes
	for _, c := range n.between(from, to) {
		c.quota.set(bytes)
	}
}

// takeQuota returns the quota for a new connection and removes it. The caller holds
// n.mu.
func (n *Network) takeQuota(from, to string) int {
	link := [2]string{from, to}
	bytes, ok := n.quotas[link]
	if !ok {
		return -1
	}
	delete(n.quotas, link)
	return bytes
}

// Freeze delays everything that a host sends or is sent until Thaw, like a paused VM:
// nothing breaks, and nothing arrives.
func (n *Network) Freeze(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.frozen[host] == nil {
		n.frozen[host] = make(chan struct{})
	}
}

// Thaw ends a Freeze.
func (n *Network) Thaw(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if thawed := n.frozen[host]; thawed != nil {
		delete(n.frozen, host)
		close(thawed)
	}
}

// AwaitThaw returns once a host is not frozen. Simulated work of a host other than
// its connections waits here, as everything on a paused VM does.
func (n *Network) AwaitThaw(host string) { n.awaitThaw(nil, host, host) }

// HealAll ends every cut, freeze, quota and delay, and removes the filter. Broken
// connections stay broken.
func (n *Network) HealAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cuts)
	clear(n.quotas)
	n.filter = nil
	n.delay = nil
	for c := range n.conns {
		c.quota.set(-1)
	}
	for host, thawed := range n.frozen {
		delete(n.frozen, host)
		close(thawed)
	}
}

// thawSignal returns a channel that closes when one of the hosts thaws, nil if none
// is frozen.
func (n *Network) thawSignal(hosts ...string) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, host := range hosts {
		if thawed := n.frozen[host]; thawed != nil {
			return thawed
		}
	}
	return nil
}

// awaitThaw waits while one of two hosts is frozen, and reports whether both were
// thawed before stop closed.
func (n *Network) awaitThaw(stop <-chan struct{}, from, to string) bool {
	for {
		thawed := n.thawSignal(from, to)
		if thawed == nil {
			return true
		}
		select {
		case <-thawed:
		case <-stop:
			return false
		}
	}
}

// delayOf returns the one-way delay from one host to another.
func (n *Network) delayOf(from, to string) time.Duration {
	n.mu.Lock()
	delay := n.delay
	n.mu.Unlock()
	if delay == nil {
		return 0
	}
	return delay(from, to)
}

func (b *budget) set(left int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remaining = left
}
