// Package experiment plays the variants of a workload with several seeds side by
// side, in virtual time on the product's own nodes, and compares them.
//
// Its parts are one package each: workload reads the file, play plays it once,
// compare tells differences from chance, bound tells what could be earned at
// most. Run joins them: it keeps each play as soon as it is done, so that a run
// that was ended goes on where it was.
package experiment
