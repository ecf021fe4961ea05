package membership

import (
	"context"
	"errors"
	"time"
)

const (
	// pullTimeout bounds the transfer of one payload. One that is cut off has
	// twice the time for the next, up to maxPullTimeout.
	pullTimeout    = time.Second
	maxPullTimeout = 16 * time.Second
	// pullRetry is the wait after a transfer that failed.
	pullRetry = 250 * time.Millisecond
	// pullRefused is the wait before a version that the delegate did not take
	// is fetched again. Without it, each message of a peer that shows a
	// version nobody can use would cost a transfer.
	pullRefused = 10 * time.Second
)

// pullState allows one transfer at a time, so that a payload that many peers
// announce crosses the network once for each member.
type pullState struct {
	active  bool
	next    time.Time
	refused uint64
	until   time.Time
	// timeout is what the next transfer has, 0 for pullTimeout.
	timeout time.Duration
}

// cutOff gives the next transfer more time.
//
// The failure: a payload that takes longer than its time is cut off and begun
// anew, for ever, and this member never has the version.
func (p *pullState) cutOff(after time.Duration) {
	p.timeout = min(2*after, maxPullTimeout)
}

// answerPull puts the configuration into the reply to a peer that has an older one.
func (g *Gossip) answerPull(reply, request *Message) {
	own, data := g.cfg.Delegate.Payload()
	// The version must be that of the data, whatever came into force since.
	reply.Version = own
	if own <= request.Version || len(data) > g.cfg.MaxPayloadBytes {
		return
	}
	reply.Data = data
	if request.Packed {
		reply.Data, reply.Packed = g.packer.pack(own, data)
	}
}

// payloadOf returns the configuration in a reply, nil if there is none.
func (g *Gossip) payloadOf(reply *Message) ([]byte, error) {
	if !reply.Packed {
		return reply.Data, nil
	}
	return unpack(reply.Data, g.cfg.MaxPayloadBytes)
}

// fetch starts a transfer from the peer that showed a higher version.
func (g *Gossip) fetch(from memberID, version uint64) {
	now := g.cfg.Clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	row := g.table.rows[from]
	p := &g.pull
	if row == nil || p.active || now.Before(p.next) || (version == p.refused && now.Before(p.until)) {
		return
	}
	p.active = true
	peer := target{id: from, addr: row.m.GossipAddr}
	go g.transfer(peer, max(p.timeout, pullTimeout))
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
	taken := g.cfg.Delegate.LocalVersion() > before
	now := g.cfg.Clock()
	g.mu.Lock()
	g.pull.active = false
	switch {
	case taken:
		g.pull.timeout = 0
		g.rumors.addVersion()
	case offered:
		g.pull.refused = reply.Version
		g.pull.until = now.Add(pullRefused)
	default:
		g.pull.next = now.Add(pullRetry)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && !taken {
		g.pull.cutOff(timeout)
	}
	g.mu.Unlock()
	g.wakeLoop()
}
