package call_test

import (
	"fmt"
	"net/http"
	"time"

	"pollengauge.dev/call"
)

// A node sends a call downstream and evaluates the response.
func Example() {
	down := http.Header{}
	call.Context{
		RequestID: "r-42",
		Profile:   "filing",
		Level:     call.MakeLevel(12, 100),
		Timeout:   300 * time.Millisecond,
		Credit:    1,
		Depth:     2,
	}.Inject(down)

	got, err := call.Extract(down)
	fmt.Println(got.Profile, got.Level, got.Timeout, err)

	back := http.Header{}
	call.Report{Outcome: call.NotRun, Reason: call.ReasonLevel, Hop: "tracker"}.Inject(back)
	report, err := call.ExtractReport(back)
	fmt.Println(report.Outcome, report.Reason, "at", report.Hop, err)
	// Output:
	// filing 12.100 300ms <nil>
	// not-run level at tracker <nil>
}
