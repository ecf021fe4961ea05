// Package baseline implements the plain forwarding that pollengauge is compared
// with. Every hop makes a fixed number of attempts at random replicas, each with
// a fixed timeout, and has no information about the rest of the chain. A
// Limiter in front of each upstream admits requests: Unlimited has no limit,
// Static a fixed one, and AIMD one with additive increase and multiplicative
// decrease.
//
// All methods of Forwarder, Registry and the limiters may be called
// concurrently.
package baseline
