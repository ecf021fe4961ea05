// Package examples holds a whole profile set for each of today's deployments,
// as files to copy from and embedded for the demo.
package examples

import "embed"

// Files has nyitottkapu.yaml and tenantwise.yaml.
//
//go:embed *.yaml
var Files embed.FS
