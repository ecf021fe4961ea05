// Package membership maintains, on every node of pollengauge, the list of the other
// nodes: their addresses and whether each one is draining, suspected, dead or has left.
// It also distributes configuration versions from node to node.
//
// # Use
//
//	g, err := membership.New(membership.Config{
//		Self:     membership.Member{ID: membership.NewID(), Service: "filing", Addr: addr, GossipAddr: gossipAddr, Zone: "a", Region: "hu-central", Slots: 300},
//		Listener: listener,
//		Seeds:    seeds,
//		Delegate: delegate,
//	})
//	err = g.Start(ctx)
//	defer g.Close()
//	for _, m := range g.Members() { ... }
//
// # Protocol
//
// The protocol is gossip in the style of SWIM. Each member probes a few fixed neighbours
// in turn, so that its connections persist. A neighbour that answers neither a direct
// probe nor probes relayed by other members becomes Suspect, and Dead when it does not
// refute the suspicion in time. Changes are disseminated as rumors: each member forwards
// a new rumor at once to a few neighbours, and stops when the replies show that the
// neighbours know it already. Every few seconds two random members compare digests of
// their complete tables and exchange the entries that differ (anti-entropy), which
// repairs missed rumors. Members that are believed dead are probed now and then, so that
// the two sides of a network partition merge again without an operator.
//
// A claim is a statement about one incarnation: its state and, optionally, its
// description. Claims about the same incarnation are totally ordered: the higher Seq
// wins, and at the same Seq Left beats Dead beats Suspect beats Alive. Only a member
// itself raises its Seq.
//
// # Types
//
// Gossip runs the protocol for one process and is configured by Config. Members are
// published as immutable Member values. Transport carries a Message, which holds Entry
// claims, to a peer; by default over net/rpc. Delegate connects the owner's configuration
// to the protocol.
//
// # Guarantees
//
// Members and Lookup read an immutable snapshot without a lock. All methods of Gossip may
// be called concurrently. Delegate methods and subscribers are called without locks held,
// one payload at a time. Membership is not a lease: a member that is shown as Dead may
// still run, and one shown as Alive may be gone.
package membership
