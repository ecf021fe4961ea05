package config_test

import (
	"context"
	"fmt"
	"time"

	"pollengauge.dev/config"
	"pollengauge.dev/standin"
)

// An operator's file becomes a new version, and a node activates it.
func Example() {
	file := []byte(`
profiles:
  - {name: default, priority: 2}
  - {name: filing, priority: 15, unrepeatable: true, deadline: 30s, prefer: goodput}
assignments:
  - {service: filing, method: POST, pathPrefix: /filings, profile: filing}
`)
	draft, err := config.Parse(file, config.YAML)
	if err != nil {
		fmt.Println(err)
		return
	}
	platform := standin.NewMemory()
	result, err := config.Apply(context.Background(), platform, draft, config.ApplyOptions{
		ChangeID: "first",
		Author:   "Ilona",
		Now:      time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC),
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	node := config.NewStore()
	accepted, err := node.OfferSet(result.Current, config.SourcePlatform)
	fmt.Println(accepted, err, node.Status().Version)
	fmt.Println(node.Current().Match("filing", "POST", "/filings/7").Name)
	fmt.Print(config.FormatDiff(config.Diff(config.Default(), draft)))
	// Output:
	// true <nil> 1
	// filing
	// ~ profiles[default].priority: 4 -> 2
	// + profiles[filing]: priority=15 internal=false public=false unrepeatable=true key=optional record=none deadline=30s target=0s maxWait=3s credit=2 brownout.maxAge=0s brownout.vary= prefer=goodput callerHeader=
	// - profiles[default-write]: priority=12 internal=false public=false unrepeatable=true key=optional record=none deadline=15s target=0s maxWait=3s credit=2 brownout.maxAge=0s brownout.vary= prefer=goodput callerHeader=
	// + assignments[filing POST /filings]: profile=filing
	// - assignments[* POST]: profile=default-write
	// - assignments[* PUT]: profile=default-write
	// - assignments[* PATCH]: profile=default-write
	// - assignments[* DELETE]: profile=default-write
}
