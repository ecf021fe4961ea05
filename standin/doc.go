// Package standin is a fake of the platform's object API for tests, the demo and
// benchmarks. It stores everything in memory.
//
// New returns a Server, which implements the platform's HTTP API. NewMemory
// returns a Memory, which implements objects.Store without HTTP. A Server is a
// Memory behind HTTP, so both follow the same rules and support the same Faults,
// which are set in code with SetFaults or, on a Server, with POST /faults.
//
// All methods of Server and Memory may be called concurrently. Time comes from
// package time and randomness from Options.Seed, so tests may run in a synctest
// bubble.
package standin
