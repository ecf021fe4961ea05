// Package standin is a small stand-in of the platform's object API, for
// tests, the demo and benchmarks. It keeps everything in memory.
//
// New returns a Server that speaks the same HTTP as the platform; NewMemory
// returns a objects.Store without HTTP. Both share one store, so they keep
// the same rules and take the same Faults, from code (SetFaults) or, on a
// Server, by POST /faults.
//
// All methods of Server and Memory may be called concurrently. Time comes
// from package time and randomness from Options.Seed, so tests may run in a
// synctest bubble.
package standin
