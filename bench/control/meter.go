package control

import (
	"context"
	"time"

	"pollengauge.dev/membership"
	"pollengauge.dev/objects"
	"pollengauge.dev/observe"
)

// Bytes on the wire besides those of the connections: Ethernet, IP and TCP
// headers of a segment, three segments an exchange (request, reply,
// acknowledgement), and seven to open and close a connection.
const (
	segmentHeader     = 66
	exchangeSegments  = 3
	handshakeSegments = 7
	segmentPayload    = 1448
)

// wireBytes estimates what one end of the connections sees in both directions.
func wireBytes(payload, exchanges, opened uint64) uint64 {
	segments := exchangeSegments*exchanges + handshakeSegments*opened + payload/segmentPayload
	return payload + segmentHeader*segments
}

// totals are sums over nodes.
type totals struct{ payload, sent, received, dials, writes uint64 }

func (t *totals) add(s membership.Stats, h *host) {
	t.payload += s.BytesIn + s.BytesOut
	t.sent += s.Sent
	t.received += s.Received
	t.dials += s.Dials
	t.writes += h.writes.Load()
}

func (t *totals) plus(o totals) {
	t.payload += o.payload
	t.sent += o.sent
	t.received += o.received
	t.dials += o.dials
	t.writes += o.writes
}

func (t totals) minus(o totals) totals {
	return totals{
		payload:  t.payload - o.payload,
		sent:     t.sent - o.sent,
		received: t.received - o.received,
		dials:    t.dials - o.dials,
		writes:   t.writes - o.writes,
	}
}

// wire counts an opened connection at both of its ends.
func (t totals) wire() uint64 { return wireBytes(t.payload, t.sent+t.received, 2*t.dials) }

// reading is the state of all counters at one moment.
type reading struct {
	at       time.Time
	cpu      time.Duration
	gossip   totals
	nodes    map[*member]totals
	calls    map[objects.Op]uint64
	refused  uint64
	platform uint64
}

func (f *fleet) read() reading {
	r := reading{at: time.Now(), nodes: make(map[*member]totals)}
	if used, err := observe.ReadProcessUsage(); err == nil {
		r.cpu = used.CPU
	}
	stats := f.store.Stats()
	r.calls = stats.Calls
	r.refused = stats.RefusedRate
	r.platform = f.store.bytes.Load()
	f.mu.Lock()
	members, gone := f.members, f.gone
	f.mu.Unlock()
	for _, m := range members {
		var own totals
		own.add(m.GossipStats(), m.host)
		r.nodes[m] = own
		r.gossip.plus(own)
	}
	for _, m := range gone {
		r.gossip.add(m.GossipStats(), m.host)
	}
	return r
}

// Usage is what one node spent during a phase: the sums of the fleet divided
// by its members.
type Usage struct {
	Seconds float64 `json:"seconds"`
	// CPU is in per cent of a core; PeakCPU is that of the worst second.
	CPU     float64 `json:"cpu_percent"`
	PeakCPU float64 `json:"peak_cpu_percent"`
	// Gossip is bytes a second in and out, headers estimated. PeakGossip is
	// that of the worst second, Busiest that of the node with the most.
	Gossip     float64 `json:"gossip_bytes_per_s"`
	PeakGossip float64 `json:"peak_gossip_bytes_per_s"`
	Busiest    float64 `json:"busiest_gossip_bytes_per_s"`
	// Payload is the part of Gossip that was counted, not estimated.
	Payload float64 `json:"payload_bytes_per_s"`
	// Messages are requests sent and received a second, Dials connections
	// opened a second, Writes system calls that write to other nodes.
	Messages float64 `json:"messages_per_s"`
	Dials    float64 `json:"dials_per_s"`
	Writes   float64 `json:"writes_per_s"`
	// Platform is bytes a second to and from the platform, headers estimated.
	Platform float64 `json:"platform_bytes_per_s"`
	// Calls are the platform's calls of the whole fleet in the whole phase,
	// refused ones included; Refused those over its rate.
	Calls   map[objects.Op]uint64 `json:"platform_calls"`
	Refused uint64                `json:"platform_refused"`
}

// usageOf divides what lies between readings by the members.
func usageOf(readings []reading, members int) Usage {
	first, last := readings[0], readings[len(readings)-1]
	u := between(first, last, members)
	for i := 1; i < len(readings); i++ {
		if readings[i].at.Sub(readings[i-1].at) < sampleStep/2 {
			continue // too short to divide by
		}
		part := between(readings[i-1], readings[i], members)
		u.PeakCPU = max(u.PeakCPU, part.CPU)
		u.PeakGossip = max(u.PeakGossip, part.Gossip)
	}
	for m, before := range first.nodes {
		if after, still := last.nodes[m]; still {
			u.Busiest = max(u.Busiest, float64(after.minus(before).wire())/u.Seconds)
		}
	}
	return u
}

const percent = 100

func between(a, b reading, members int) Usage {
	seconds := b.at.Sub(a.at).Seconds()
	each := func(total uint64) float64 { return float64(total) / seconds / float64(members) }
	spent := b.gossip.minus(a.gossip)
	u := Usage{
		Seconds:  seconds,
		CPU:      percent * (b.cpu - a.cpu).Seconds() / seconds / float64(members),
		Gossip:   each(spent.wire()),
		Payload:  each(spent.payload),
		Messages: each(spent.sent + spent.received),
		Dials:    each(spent.dials),
		Writes:   each(spent.writes),
		Calls:    make(map[objects.Op]uint64),
		Refused:  b.refused - a.refused,
	}
	u.PeakCPU, u.PeakGossip = u.CPU, u.Gossip
	var calls uint64
	for op, count := range b.calls {
		if made := count - a.calls[op]; made > 0 {
			u.Calls[op] = made
			calls += made
		}
	}
	u.Platform = each(wireBytes(b.platform-a.platform, calls, 0))
	return u
}

// sampleStep is the time between two readings while a phase runs.
const sampleStep = time.Second

// observe takes readings until stop is called, which returns them all.
func (f *fleet) observe(ctx context.Context) (stop func() []reading) {
	ctx, cancel := context.WithCancel(ctx)
	readings := []reading{f.read()}
	done := make(chan struct{})
	go func() {
		defer close(done)
		tick := time.NewTicker(sampleStep)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
				readings = append(readings, f.read())
			}
		}
	}()
	return func() []reading {
		cancel()
		<-done
		return append(readings, f.read())
	}
}
