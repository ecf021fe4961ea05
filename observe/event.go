package observe

import (
	"slices"

	"github.com/go-kit/log/level"
)

// Severity is how urgently an operator should read an event.
type Severity uint8

// The severities, least urgent first.
const (
	Debug Severity = iota
	Info
	Warn
	Error
)

var severityNames = [...]string{Debug: "debug", Info: "info", Warn: "warn", Error: "error"}

// String returns the name used in logs and settings.
func (s Severity) String() string { return severityNames[min(s, Error)] }

// ParseSeverity is the inverse of String. Anything else is a *SettingError.
func ParseSeverity(name string) (Severity, error) {
	i := slices.Index(severityNames[:], name)
	if i < 0 {
		return Info, &SettingError{Setting: "log level", Value: name, Want: "debug, info, warn or error"}
	}
	return Severity(i), nil
}

// value is the severity in go-kit's terms.
func (s Severity) value() level.Value {
	return [...]level.Value{level.DebugValue(), level.InfoValue(), level.WarnValue(), level.ErrorValue()}[min(s, Error)]
}

// Event is one numbered kind of log line. Numbers and names are part of the
// public API: alerts are written against them, so they are never reused.
type Event struct {
	ID      int
	Name    string
	Level   Severity
	Meaning string
	// Action is what an operator should do on seeing it.
	Action string
	// Rate and Burst bound the lines of this event where they are not those of
	// the Logger, in lines a second and lines.
	Rate, Burst float64
}

// catalogue holds every event in order of definition. It is written only
// while package variables are initialised.
var catalogue []Event

func event(id int, name string, severity Severity, meaning, action string) Event {
	e := Event{ID: id, Name: name, Level: severity, Meaning: meaning, Action: action}
	catalogue = append(catalogue, e)
	return e
}

// decision makes an event that has a budget of its own.
func decision(id int, name string, severity Severity, rate float64, meaning, action string) Event {
	e := Event{ID: id, Name: name, Level: severity, Meaning: meaning, Action: action, Rate: rate, Burst: rate * decisionMost}
	catalogue = append(catalogue, e)
	return e
}

// Catalogue returns every event, ordered by number.
func Catalogue() []Event {
	events := slices.Clone(catalogue)
	slices.SortFunc(events, func(a, b Event) int { return a.ID - b.ID })
	return events
}

// EventRange is a thousand of event numbers that share a subject.
type EventRange struct {
	First   int
	Subject string
}

// EventRanges returns the subjects of the event numbers.
func EventRanges() []EventRange {
	return []EventRange{
		{1000, "process life"},
		{2000, "configuration"},
		{3000, "membership"},
		{4000, "admission and outcomes"},
		{5000, "keys and fates"},
		{6000, "platform"},
		{7000, "edges and hostile input"},
		{8000, "decisions about requests"},
	}
}
