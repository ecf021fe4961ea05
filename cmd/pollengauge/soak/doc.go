// Package soak injects randomly drawn faults into the real programs and checks, from
// what customers and upstreams observe, that the promises of docs/PROMISES.md hold.
//
// The nodes and the platform's store are separate processes on loopback, each
// VM with an address of its own. Customers, upstreams and the operator run in the
// test's process, so that all their observations go into one complete record.
// Faults come from outside the programs: signals, and a proxy on each kind of link
// that delays, resets, blocks or silently drops its traffic. Faults come in series
// and overlap, and customers use their connections until the process has exited.
// Some customers pipeline requests, upload, stop halfway through an upload, or move
// between zones; another program writes to the store as well. At times a request
// that crashes every upstream which runs it is sent repeatedly.
//
// The clock of a process can't be set from outside the process without privileges,
// so clock steps are covered by the tests with injected clocks.
//
// The seed alone determines the plan of faults. The timing of a fault relative to
// each request differs from run to run, so a seed that failed is added to
// regressions and played many times:
//
//	go test ./cmd/pollengauge/soak                          a short run
//	go test ./cmd/pollengauge/soak -seeds 50 -for 15s       fifty fresh plans
//	go test ./cmd/pollengauge/soak -seed 7 -for 15s         one plan again
//	go test ./cmd/pollengauge/soak -seeds 2 -vms 60         up to the limits
//	go test ./cmd/pollengauge/soak -seeds 5 -grow=false     without growths of the configuration
//
// The logs of a failed plan are kept, and the test output names their folder.
package soak
