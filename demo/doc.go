// Package demo runs the deployments of the two current users at a reduced scale
// on loopback. It compares pollengauge with plain forwarding under the same
// load, during a surge and a slow replica of the bottleneck service. For
// pollengauge it also changes profiles, drains and kills a VM and takes the
// platform down.
//
//	result, err := demo.Run(ctx, demo.Options{Profiles: examples.Files}, os.Stdout)
//
// examples.Files holds the profile sets of both deployments, embedded in the
// binary.
//
// Run compares every answer that a client received with its request and with
// the upstreams' ledger. Result.Broken is the number of promises that
// pollengauge violated. The figures are valid only for the machine and the
// scale of the run: services have a tenth of their slots, and one process runs
// clients, nodes, upstreams and platform.
//
// Don't call Run concurrently if its figures matter, because concurrent runs
// compete for the machine.
package demo
