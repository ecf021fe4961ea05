package membership

import (
	"context"
	"errors"
	"time"
)

const (
	// pullTimeout bounds the transfer of one payload. After a transfer that timed out,
	// the next one from the same member has twice the time, up to maxPullTimeout.
	pullTimeout    = time.Second
	maxPullTimeout = 16 * time.Second
	// pullRetry is the wait after a failed transfer.
	pullRetry = 250 * time.Millisecond
	// rejectedWait is the wait before a version that the delegate rejected is fetched
	// again. Without it, each message of a peer that announces an unusable version would
	// cost a transfer.
	rejectedWait = 10 * time.Second
)

// maxTransfers bounds the concurrent transfers to this process.
const maxTransfers = 2

// pullState allows one transfer at a time, so that a payload that many peers announce is
// sent only once to each member. It allows a second transfer from another peer if the
// first takes long, since the first peer may have stopped responding.
type pullState struct {
	// running holds the start times of the transfers in progress, by peer.
	running         map[memberID]time.Time
	nextAttempt     time.Time
	rejectedVersion uint64
	rejectedUntil   time.Time
	// extendedTimeouts holds the timeout of the next transfer from each peer whose last
	// transfer timed out. It applies to version, and is cleared for a higher one.
	extendedTimeouts map[memberID]time.Duration
	version          uint64
}

// busy reports whether a transfer from the given member must not start now.
func (p *pullState) busy(from memberID, now time.Time) bool {
	if _, running := p.running[from]; running || len(p.running) >= maxTransfers {
		return true
	}
	for _, began := range p.running {
		if now.Sub(began) < pullTimeout {
			return true
		}
	}
	return now.Before(p.nextAttempt)
}

func (p *pullState) begin(from memberID, now time.Time) {
	if p.running == nil {
		p.running = make(map[memberID]time.Time)
	}
	p.running[from] = now
}

// timeoutFor returns the timeout of a transfer of a version from a member. Extended
// timeouts apply to one version only: the next payload may be smaller, and this process
// must not wait long for a member that has stopped responding.
func (p *pullState) timeoutFor(from memberID, version uint64) time.Duration {
	if version > p.version {
		p.version, p.extendedTimeouts = version, nil
	}
	return max(p.extendedTimeouts[from], pullTimeout)
}

// extendTimeout doubles the timeout of the next transfer from a member, after one that
// timed out. With a fixed timeout, a payload that takes longer would be cut off and
// restarted for ever, and this member would never get the version.
func (p *pullState) extendTimeout(from memberID, after time.Duration) {
	if p.extendedTimeouts == nil {
		p.extendedTimeouts = make(map[memberID]time.Duration)
	}
	p.extendedTimeouts[from] = min(2*after, maxPullTimeout)
}

// answerPull adds the configuration to the reply if the peer has an older version.
func (g *Gossip) answerPull(reply, request *Message) {
	own, data := g.cfg.Delegate.Payload()
	// The version must match the data, even if another version has come into force since.
	reply.Version = own
	if own <= request.Version || len(data) > g.cfg.MaxPayloadBytes {
		return
	}
	reply.Data = data
	if request.Packed {
		reply.Data, reply.Packed = g.packer.pack(own, data)
	}
}

// payloadOf returns the configuration contained in a reply, nil if there is none.
func (g *Gossip) payloadOf(reply *Message) ([]byte, error) {
	if !reply.Packed {
		return reply.Data, nil
	}
	return unpack(reply.Data, g.cfg.MaxPayloadBytes)
}

// fetch starts a transfer from a peer that announced a higher version.
func (g *Gossip) fetch(from memberID, version uint64) {
	now := g.cfg.Clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	row := g.table.rows[from]
	p := &g.pull
	if row == nil || p.busy(from, now) || (version == p.rejectedVersion && now.Before(p.rejectedUntil)) {
		return
	}
	p.begin(from, now)
	peer := target{id: from, addr: row.m.GossipAddr}
	go g.transfer(peer, p.timeoutFor(from, version))
}

// transfer pulls a payload and offers it to the delegate.
func (g *Gossip) transfer(peer target, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(g.ctx, timeout)
	defer cancel()
	before := g.cfg.Delegate.LocalVersion()
	g.stats.pulls.Add(1)
	reply, err := g.exchange(ctx, peer, &Message{Kind: KindPull, Packed: true})
	var data []byte
	if err == nil {
		data, err = g.payloadOf(reply)
	}
	offered := err == nil && reply.Version > before && len(data) > 0
	if offered {
		g.cfg.Delegate.Offer(peer.id.hex(), reply.Version, data)
	}
	accepted := g.cfg.Delegate.LocalVersion() > before
	now := g.cfg.Clock()
	g.mu.Lock()
	delete(g.pull.running, peer.id)
	switch {
	case accepted:
		g.rumors.addVersion()
	case offered:
		g.pull.rejectedVersion = reply.Version
		g.pull.rejectedUntil = now.Add(rejectedWait)
	default:
		g.pull.nextAttempt = now.Add(pullRetry)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && !accepted {
		g.pull.extendTimeout(peer.id, timeout)
	}
	g.mu.Unlock()
	g.wakeLoop()
}
