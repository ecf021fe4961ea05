package observe

import (
	"slices"

	"github.com/go-kit/log/level"
)

// Severity is the urgency of an event for an operator.
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

// ParseSeverity is the inverse of String. It returns a *SettingError for any
// other name.
func ParseSeverity(name string) (Severity, error) {
	i := slices.Index(severityNames[:], name)
	if i < 0 {
		return Info, &SettingError{Setting: "log level", Value: name, Want: "debug, info, warn or error"}
	}
	return Severity(i), nil
}

// value returns the go-kit level of the severity.
func (s Severity) value() level.Value {
	return [...]level.Value{level.DebugValue(), level.InfoValue(), level.WarnValue(), level.ErrorValue()}[min(s, Error)]
}

// Event is one numbered kind of log line. Numbers and names are part of the
// public API: alert rules match them, so they are never reused.
type Event struct {
	ID      int
	Name    string
	Level   Severity
	Meaning string
	// Action tells operators how to respond to the event.
	Action string
	// Rate, in lines per second, and Burst, in lines, limit the log lines of this
	// event. A Rate of 0 selects the limits of the Logger.
	Rate, Burst float64
}

// eventCatalogue holds every event in the order of definition. It is written only
// during the initialisation of package variables.
var eventCatalogue []Event

func defineEvent(id int, name string, severity Severity, meaning, action string) Event {
	e := Event{ID: id, Name: name, Level: severity, Meaning: meaning, Action: action}
	eventCatalogue = append(eventCatalogue, e)
	return e
}

// defineLimited defines an event with its own rate limit, in lines per second.
func defineLimited(id int, name string, severity Severity, rate float64, meaning, action string) Event {
	e := Event{ID: id, Name: name, Level: severity, Meaning: meaning, Action: action, Rate: rate, Burst: rate * decisionBurstSeconds}
	eventCatalogue = append(eventCatalogue, e)
	return e
}

// Catalogue returns all events, ordered by number.
func Catalogue() []Event {
	events := slices.Clone(eventCatalogue)
	slices.SortFunc(events, func(a, b Event) int { return a.ID - b.ID })
	return events
}

// EventRange is a block of 1000 event numbers on one subject.
type EventRange struct {
	First   int
	Subject string
}

// EventRanges returns the blocks of event numbers and their subjects.
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
