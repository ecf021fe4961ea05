package observe_test

import (
	"fmt"
	"os"
	"strings"
	"time"

	"pollengauge.dev/call"
	"pollengauge.dev/observe"
)

// A node records one refused call in its log, its metrics and its ring, and the
// explain screen shows the reason.
func Example() {
	noon := time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)
	logger, err := observe.NewLogger(observe.LoggerConfig{Output: os.Stdout, Now: func() time.Time { return noon }})
	if err != nil {
		fmt.Println(err)
		return
	}
	metrics := observe.NewMetrics(observe.MetricsConfig{Node: "registry-1", Service: "property-registry"})
	ring := observe.NewRing(observe.DefaultRingSize)

	logger.Emit(observe.AdmissionRaised, observe.Str("level", call.MakeLevel(9, 0).String()), observe.Int("queue", 23))
	metrics.Profile("status").Call(call.NotRun, call.ReasonLevel)
	ring.Add(observe.Hop{
		At: noon, RequestID: "r-1", Node: "registry-1", Service: "property-registry", Kind: observe.Root, Profile: "status",
		Level: call.MakeLevel(4, 17), AdmitLevel: call.MakeLevel(9, 0),
		Decision: observe.Refused, Outcome: call.NotRun, Reason: call.ReasonLevel, Limit: 40, InFlight: 40, Queue: 23,
	})
	screen := observe.Explain(ring.Find("r-1"), observe.ExplainOptions{Width: 300})
	for line := range strings.Lines(screen) {
		if strings.HasPrefix(line, "Why") {
			fmt.Print(line)
		}
	}
	// Output:
	// ts=2026-12-02T12:00:00Z level=warn event=4001 name=admission-raised level=9.000 queue=23
	// Why: property-registry (root hop on node registry-1) refused it because its level was below the admission level in force.
}
