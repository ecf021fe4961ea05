// Package earlysignal ignores SIGHUP in a sidecar process from its first instructions on.
//
// The Go runtime installs its handlers long before the process can ask for a signal, and the
// default action of SIGHUP is to end the process. A process that is told to read its settings
// again while it starts would exit. It reads them after it has begun to catch the signal, so
// nothing is lost by ignoring it until then. Without cgo the package does nothing.
package earlysignal
