package call

import (
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func example() Context {
	return Context{RequestID: "r1", Profile: "filing", Level: MakeLevel(12, 127), Timeout: 250 * time.Millisecond, Credit: 2, Depth: 3, Progress: 4, RefusedShare: 970, Repeat: true}
}

// Guards against headers that change between nodes: a level or a credit that the next
// node reads differently would be that of another request.
func TestHeadersRoundTrip(t *testing.T) {
	c := qt.New(t)
	h := http.Header{"Accept": {"text/html"}}
	example().Inject(h)
	got, err := Extract(h)
	c.Assert(err, qt.IsNil)
	c.Check(got, qt.Equals, example())
	report := Report{Outcome: NotRun, Reason: ReasonLevel, Hop: "tracker", HighestAdmitLevel: MaxLevel + 1, CreditLeft: 1, Load: 900}
	report.Inject(h)
	back, err := ExtractReport(h)
	c.Assert(err, qt.IsNil)
	c.Check(back, qt.Equals, report)
	c.Check(h.Get("Accept"), qt.Equals, "text/html")
}

// Guards against malformed headers that a peer sends, one at a time. Each must be
// refused with the header's name and value. A silent default would let a faulty peer
// raise a priority or extend a deadline.
func TestMalformedHeadersAreNamed(t *testing.T) {
	c := qt.New(t)
	for name, values := range map[string][]string{
		HeaderRequest: {"", strings.Repeat("x", MaxIDLength+1), "a b", "a\x00"},
		HeaderProfile: {"", strings.Repeat("x", maxNameLength+1), "é"},
		HeaderLevel:   {"", "-1", "+1", "1e3", "2048", "99999999", "0x1"},
		HeaderTimeout: {"", "600001", "1.5"},
		HeaderCredit:  {"", "65"},
		HeaderDepth:   {"", "65"},
		// A request with a falsely high progress would overtake others in the queue.
		HeaderProgress: {"", "65", "-1", "+1"},
		HeaderHeldBack: {"", "1001", "-1", "0.5"},
		HeaderRepeat:   {"", "2", "-1", "true"},
	} {
		for _, value := range values {
			h := http.Header{}
			example().Inject(h)
			h.Set(name, value)
			got, err := Extract(h)
			var bad *HeaderError
			c.Assert(errors.As(err, &bad), qt.IsTrue, qt.Commentf("%s: %q", name, value))
			c.Check(bad.Header, qt.Equals, name)
			c.Check(got, qt.Equals, Context{})
		}
	}
}

// A response without a readable outcome proves nothing: it must count as unknown, never
// as not-run.
func TestUnreadableReportIsUnknown(t *testing.T) {
	c := qt.New(t)
	for _, name := range []string{HeaderOutcome, HeaderWorst, HeaderCreditLeft, HeaderLoad} {
		h := http.Header{}
		Report{Outcome: NotRun}.Inject(h)
		h.Set(name, "?")
		got, err := ExtractReport(h)
		c.Check(err, qt.IsNotNil)
		c.Check(got.Outcome, qt.Equals, Unknown)
	}
}

func TestLevelOrder(t *testing.T) {
	c := qt.New(t)
	c.Check(MakeLevel(3, 0) > MakeLevel(2, MaxTiebreak), qt.IsTrue)
	c.Check(MakeLevel(200, 255), qt.Equals, MaxLevel)
	c.Check(MakeLevel(4, 43).String() < MakeLevel(4, 120).String(), qt.IsTrue)
	c.Check((MaxLevel + 1).Priority(), qt.Equals, MaxPriority)
}

// Whatever Extract accepts is within bounds, and Inject writes it back unchanged.
func FuzzExtract(f *testing.F) {
	f.Add("r1", "filing", "1663", "250", "2", "3", "4")
	f.Add("", "p", "-1", "1e9", "99999999", "٣", "")
	f.Add("r\x00", strings.Repeat("p", 64), "2047", "600000", "64", "64", "64")
	f.Fuzz(func(t *testing.T, id, profile, level, timeout, credit, depth, progress string) {
		h := http.Header{
			HeaderRequest: {id}, HeaderProfile: {profile}, HeaderLevel: {level},
			HeaderTimeout: {timeout}, HeaderCredit: {credit}, HeaderDepth: {depth}, HeaderProgress: {progress},
		}
		got, err := Extract(h)
		if err != nil {
			return
		}
		if got.Level > MaxLevel || got.Timeout > MaxTimeout || got.Credit > MaxCredit || got.Depth > MaxDepth || got.Progress > MaxProgress {
			t.Fatalf("out of bounds: %+v", got)
		}
		again := http.Header{}
		got.Inject(again)
		if back, err := Extract(again); err != nil || back != got {
			t.Fatalf("wrote %+v, read back %+v, %v", got, back, err)
		}
	})
}

// ExtractReport accepts only the three outcomes, and reads not-run only from exactly
// that name.
func FuzzExtractReport(f *testing.F) {
	f.Add("not-run", "level", "tracker", "1024", "1", "900")
	f.Add("NOT-RUN", "", "", "2049", "-1", "100001")
	f.Fuzz(func(t *testing.T, outcome, reason, hop, worst, left, load string) {
		h := http.Header{
			HeaderOutcome: {outcome}, HeaderReason: {reason}, HeaderHop: {hop},
			HeaderWorst: {worst}, HeaderCreditLeft: {left}, HeaderLoad: {load},
		}
		got, err := ExtractReport(h)
		if err != nil && got.Outcome != Unknown {
			t.Fatalf("error with outcome %v", got.Outcome)
		}
		if got.Outcome == NotRun && outcome != NotRun.String() {
			t.Fatalf("not-run from %q", outcome)
		}
	})
}
