package membership

import "sync/atomic"

// stats holds the running counters.
type stats struct {
	bytesIn, bytesOut, dials                      atomic.Uint64
	sent, received, failed, refused, skipped      atomic.Uint64
	probes, probesFailed, pulls, pauses, seedAsks atomic.Uint64
	seedErrors, inboundRefused, raised, late      atomic.Uint64
}

// Stats is a snapshot of a Gossip's counters since New.
type Stats struct {
	// BytesIn and BytesOut count the bytes on connections, excluding TCP/IP headers.
	// Dials counts the connections opened.
	BytesIn, BytesOut, Dials uint64
	// Sent and Received count requests; Failed counts those sent without a usable reply;
	// Skipped counts exchanges not started because too many were in flight.
	Sent, Received, Failed, Skipped uint64
	// LateReplies counts the requests whose reply did not arrive in time. It may have
	// arrived later.
	LateReplies uint64
	// Refused counts malformed messages and rejected claims.
	Refused uint64
	// Probes and ProbesFailed count direct probes.
	Probes, ProbesFailed uint64
	// SuspicionsRaised counts the suspicions that this process raised itself.
	SuspicionsRaised uint64
	// Suspicions, Deaths and Refutations count state changes in this process's table.
	Suspicions, Deaths, Refutations uint64
	// Conflicts counts claims that contradict an incarnation's identity, and SeqOutOfRange
	// those with a Seq too far above the known one. Either means a faulty peer.
	Conflicts, SeqOutOfRange uint64
	// TableFull counts members that were not added because the table was full.
	TableFull uint64
	// Pulls counts transfers of the configuration payload to this process.
	Pulls uint64
	// Pauses counts the times that this process detected that it had been stopped.
	Pauses uint64
	// SeedCalls and SeedErrors count calls of Config.Seeds and those that failed.
	SeedCalls, SeedErrors uint64
	// InboundRefused counts connections rejected because of MaxInbound.
	InboundRefused uint64
	// LargestPeer is the largest number of members that a peer reported to know.
	LargestPeer int
	// Alive, Suspect, Dead and Left count members, including this process.
	Alive, Suspect, Dead, Left int
}

// Stats returns a snapshot of the counters.
func (g *Gossip) Stats() Stats {
	s := &g.stats
	v := g.view.Load()
	g.mu.Lock()
	c, largestPeer := g.table.counts, g.largestPeer
	g.mu.Unlock()
	return Stats{
		BytesIn: s.bytesIn.Load(), BytesOut: s.bytesOut.Load(), Dials: s.dials.Load(),
		Sent: s.sent.Load(), Received: s.received.Load(), Failed: s.failed.Load(), Skipped: s.skipped.Load(),
		LateReplies: s.late.Load(),
		Refused:     s.refused.Load(), Probes: s.probes.Load(), ProbesFailed: s.probesFailed.Load(),
		SuspicionsRaised: s.raised.Load(), Suspicions: c.suspicions, Deaths: c.deaths, Refutations: c.refutations,
		Conflicts: c.conflicts, SeqOutOfRange: c.farAhead, TableFull: c.tableFull,
		Pulls: s.pulls.Load(), Pauses: s.pauses.Load(),
		SeedCalls: s.seedAsks.Load(), SeedErrors: s.seedErrors.Load(), InboundRefused: s.inboundRefused.Load(),
		LargestPeer: largestPeer,
		Alive:       v.states[Alive], Suspect: v.states[Suspect], Dead: v.states[Dead], Left: v.states[Left],
	}
}
