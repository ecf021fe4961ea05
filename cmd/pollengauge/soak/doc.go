// Package soak plays drawn faults against the real programs and checks, from
// what customers and upstreams see, that the promises of docs/PROMISES.md hold.
//
// The nodes and the platform's store are separate processes on loopback, each
// VM with an address of its own. Customers, upstreams and the operator are in
// the test's process, so that what they saw is one record without gaps. Faults
// come from outside the programs: signals, and a proxy on each kind of link
// that delays, resets, cuts or silences connections. They come in series and
// overlap, and customers use their connections until the process is gone. Some
// customers send requests behind one another, upload, break off halfway, or
// change zones; another program writes to the store as well. Now and then the same
// request comes again and again under which upstreams end.
//
// The clock of a process can't be set from outside it without privileges; steps
// of the clock are left to the tests with injected ones.
//
// A plan of faults follows from its seed alone. When they strike relative to
// each request differs from run to run, so a seed that failed is kept in
// regressions and played many times:
//
//	go test ./cmd/pollengauge/soak                          a short run
//	go test ./cmd/pollengauge/soak -seeds 50 -for 15s       fifty fresh plans
//	go test ./cmd/pollengauge/soak -seed 7 -for 15s         one plan again
//	go test ./cmd/pollengauge/soak -seeds 2 -vms 60         up to the limits
//	go test ./cmd/pollengauge/soak -seeds 5 -grow=false     without growths of the configuration
//
// The logs of a plan that failed are kept; its output tells where.
package soak
