package observe

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestCatalogueIsComplete(t *testing.T) {
	c := qt.New(t)
	ids := make(map[int]bool)
	names := make(map[string]bool)
	for _, e := range Catalogue() {
		c.Assert(ids[e.ID] || names[e.Name], qt.IsFalse, qt.Commentf("%d %s is defined twice", e.ID, e.Name))
		ids[e.ID], names[e.Name] = true, true
		c.Assert(e.ID, qt.Satisfies, func(id int) bool { return id > 1000 && id < 9000 })
		c.Assert(e.Name != "" && e.Meaning != "" && e.Action != "", qt.IsTrue)
	}
	for _, r := range EventRanges() {
		c.Assert(ids[r.First+1], qt.IsTrue, qt.Commentf("no events on %s", r.Subject))
	}
}

// During an overload one event occurs thousands of times a second. The log must
// stay short, report the number of left-out lines, and still show other events.
func TestRepeatsAreCounted(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	var out bytes.Buffer
	l, err := NewLogger(LoggerConfig{Output: &out, EventRate: 1, EventBurst: 2, Now: func() time.Time { return now }})
	c.Assert(err, qt.IsNil)
	for range 1000 {
		l.With(Str("node", "n1")).Emit(QueueFull, Int("queue", 7))
	}
	l.Emit(ConfigAccepted)
	c.Assert(strings.Count(out.String(), "queue-full"), qt.Equals, 2)
	c.Assert(out.String(), qt.Contains, "config-accepted")
	now = now.Add(time.Second)
	l.Emit(QueueFull)
	c.Assert(out.String(), qt.Contains, "left_out=998")
	l.Emit(QueueFull)
	l.Flush()
	c.Assert(out.String(), qt.Contains, "event=1011 name=events-left-out of=4005 of_name=queue-full count=1")
	flushed := out.Len()
	l.Flush()
	c.Assert(out.Len(), qt.Equals, flushed)
}

// A caller sends a header that contains a line break. Without escaping, the log
// would contain a forged second line.
func TestHostileTextStaysOneLine(t *testing.T) {
	c := qt.New(t)
	for _, format := range []LogFormat{Logfmt, JSON} {
		var out bytes.Buffer
		l, err := NewLogger(LoggerConfig{Output: &out, Format: format})
		c.Assert(err, qt.IsNil)
		hostile := "x\nevent=6001\x1b[2J\xff" + strings.Repeat("a", 5000)
		l.Emit(ForgedHeaders, Str("caller", hostile), Err(&SettingError{Value: hostile}), Dur("took", time.Second))
		c.Assert(strings.Count(out.String(), "\n"), qt.Equals, 1)
		c.Assert(out.String(), qt.Not(qt.Contains), "\x1b")
		c.Assert(out.Len() < 1500, qt.IsTrue)
		if format == JSON {
			var line map[string]any
			c.Assert(json.Unmarshal(out.Bytes(), &line), qt.IsNil)
			c.Assert(line["event"], qt.Equals, float64(ForgedHeaders.ID))
			c.Assert(line["level"], qt.Equals, "warn")
		}
	}
}

func TestLoggerSettings(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	_, err := NewLogger(LoggerConfig{Output: &out, Format: "xml"})
	c.Assert(err, qt.ErrorMatches, `setting log format: "xml": want logfmt or json`)
	_, err = NewLogger(LoggerConfig{})
	c.Assert(err, qt.ErrorAs, new(*SettingError))
	_, err = ParseSeverity("loud")
	c.Assert(err, qt.ErrorAs, new(*SettingError))
	l, err := NewLogger(LoggerConfig{Output: &out, Level: Warn})
	c.Assert(err, qt.IsNil)
	for range 100 {
		l.Emit(Listening)
	}
	l.Flush()
	c.Assert(out.String(), qt.Equals, "")
	NopLogger().Emit(PlatformDown)
	NopLogger().Flush()
}
