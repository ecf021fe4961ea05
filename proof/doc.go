// Package proof subjects a few real nodes to faults and checks the outcomes
// that callers receive against what the upstreams actually executed.
//
// A Cluster runs nodes, each beside its own upstream, on an in-memory network
// and a stand-in for the platform. Upstreams follow an Operation, a tree of
// calls that tells each upstream which downstream calls to make and what its
// complete answer is. The Ledger records every call that arrives at an upstream,
// every execution there and every answer that a caller receives. It is also
// the test oracle: it knows nothing about how nodes work and compares only the
// answers with the executions.
//
//	cluster := proof.NewCluster()
//	defer cluster.Close()
//	_, err := cluster.Start(proof.MemberSpec{Host: "a", Service: "filing", Slots: 10})
//	...
//	op := cluster.Ledger.Add(proof.Operation{Root: proof.Call{Service: "filing", Method: "POST", Path: "/file"}})
//	reply := cluster.Present(ctx, proof.Presentation{Operation: op.ID, Host: "a"})
//	violations := cluster.Ledger.Check()
//
// The package is meant to run inside testing/synctest, where all waiting takes
// virtual time. The methods of Cluster and Ledger may be called concurrently.
//
// docs/PROMISES.md lists the tests behind each promise. docs/design/proof.md
// explains how to run the fuzz tests for an hour and how to replay a failure.
package proof
