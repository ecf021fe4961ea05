// Package workloads holds the workload files that come with the project.
package workloads

import "embed"

// Files are the workload files by name.
//
//go:embed *.yaml
var Files embed.FS
