// Package shutdown decides what a process that shuts down may still begin.
//
// A process that is asked to stop has a fixed time for what it has accepted. What is not done
// by then is broken off, although an upstream may be at work on it. A request that is begun
// must therefore end in time, and the later it is begun, the more certain that must be. A request
// that is refused instead has not run, and its caller may send it elsewhere.
//
// A [Plan] has the times of one shutdown and decides about each request; it is a pure function
// of what is known of the request. A [Meter] measures how long requests take.
package shutdown
