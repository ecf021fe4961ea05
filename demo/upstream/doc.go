// Package upstream is a stand-in for a back end: an HTTP server on loopback
// with a bounded number of workers, a first-in first-out queue in front of
// them, and routes that call other services through the server's node. Faults
// can be injected that make the server slow, freeze it, or make it report a
// wrong load or health.
//
// An execution models its work by sleeping while it occupies a worker, so a
// machine with few cores can run a fleet of upstreams. Every execution is
// written to a Ledger. After a run, the answers that callers received are
// checked against the ledger.
//
// All methods of Server and Ledger may be called concurrently.
package upstream
