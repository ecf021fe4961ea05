package membership

import (
	"context"
	"errors"
	"time"
)

const (
	// pullTimeout bounds the transfer of one payload. After one that is cut off, the
	// next from the same member has twice the time, up to maxPullTimeout.
	pullTimeout    = time.Second
	maxPullTimeout = 16 * time.Second
	// pullRetry is the wait after a transfer that failed.
	pullRetry = 250 * time.Millisecond
	// pullRefused is the wait before a version that the delegate did not take
	// is fetched again. Without it, each message of a peer that shows a
	// version nobody can use would cost a transfer.
	pullRefused = 10 * time.Second
)

// maxTransfers bounds the transfers of one member at a time.
const maxTransfers = 2

// pullState allows one transfer at a time, so that a payload that many peers
// announce crosses the network once for each member; and one from another peer
// where that takes long, since the first may have fallen silent.
type pullState struct {
	// running has when the transfers under way began.
	running map[memberID]time.Time
	next    time.Time
	refused uint64
	until   time.Time
	// slow has the time of the next transfer from members of which one was cut
	// off, while version is not in force here.
	slow    map[memberID]time.Duration
	version uint64
}

// busy tells whether no transfer from a member may begin now.
func (p *pullState) busy(from memberID, now time.Time) bool {
	if _, running := p.running[from]; running || len(p.running) >= maxTransfers {
		return true
	}
	for _, began := range p.running {
		if now.Sub(began) < pullTimeout {
			return true
		}
	}
	return now.Before(p.next)
}

func (p *pullState) begin(from memberID, now time.Time) {
	if p.running == nil {
		p.running = make(map[memberID]time.Time)
	}
	p.running[from] = now
}

// timeoutFor returns how long a transfer of a version from a member may take. What
// was learnt about links ends with the version: the next one may have less to carry,
// and must not wait for long on a member that has fallen silent.
func (p *pullState) timeoutFor(from memberID, version uint64) time.Duration {
	if version > p.version {
		p.version, p.slow = version, nil
	}
	return max(p.slow[from], pullTimeout)
}

// cutOff gives the next transfer from a member more time.
//
// The failure: a payload that takes longer than its time is cut off and begun
// anew, for ever, and this member never has the version.
func (p *pullState) cutOff(from memberID, after time.Duration) {
	if p.slow == nil {
		p.slow = make(map[memberID]time.Duration)
	}
	p.slow[from] = min(2*after, maxPullTimeout)
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
	if row == nil || p.busy(from, now) || (version == p.refused && now.Before(p.until)) {
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
	taken := g.cfg.Delegate.LocalVersion() > before
	now := g.cfg.Clock()
	g.mu.Lock()
	delete(g.pull.running, peer.id)
	switch {
	case taken:
		g.rumors.addVersion()
	case offered:
		g.pull.refused = reply.Version
		g.pull.until = now.Add(pullRefused)
	default:
		g.pull.next = now.Add(pullRetry)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && !taken {
		g.pull.cutOff(peer.id, timeout)
	}
	g.mu.Unlock()
	g.wakeLoop()
}
