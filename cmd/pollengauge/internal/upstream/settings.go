package upstream

import (
	"net"
	"net/http"
	"regexp"
	"strconv"
	"time"

	"pollengauge.dev/node"
)

// Settings configure one stand-in.
type Settings struct {
	Service string
	// Addr is the address to listen on, host:port.
	Addr string
	// NodeAdmin and NodeOutbound are its node's listeners, host:port.
	NodeAdmin    string
	NodeOutbound string
	// Work is the time that each request takes. A PUT to WorkPath changes it at
	// run time.
	Work time.Duration
	// Slots is the number of requests served at once; further requests wait.
	Slots int
	// Calls are made one after the other for each request, before the work.
	Calls []Call
	// Interval is the time between two announcements.
	Interval time.Duration
	// CrashPath is a path whose requests make the stand-in crash while it runs them;
	// it listens again after crashDowntime. "" means none.
	CrashPath string
}

// Call is one call to another service.
type Call struct {
	Method  string
	Service string
	// Path begins with a slash.
	Path string
}

// String returns the form that ParseCall parses.
func (c Call) String() string {
	text := c.Service + c.Path
	if c.Method == http.MethodGet {
		return text
	}
	return c.Method + ":" + text
}

var callPattern = regexp.MustCompile(`^(?:(GET|POST|PUT|PATCH|DELETE):)?([a-z0-9][a-z0-9-]{0,62})(/[!-~]*)$`)

// ParseCall parses "service/path", which is a GET, or a form with a method such as
// "POST:service/path".
func ParseCall(text string) (Call, error) {
	parts := callPattern.FindStringSubmatch(text)
	if parts == nil {
		return Call{}, &node.SettingError{Name: "calls", Value: strconv.Quote(text), Allowed: "service/path or METHOD:service/path"}
	}
	if parts[1] == "" {
		parts[1] = http.MethodGet
	}
	return Call{Method: parts[1], Service: parts[2], Path: parts[3]}, nil
}

const (
	maxSlots    = 100_000
	maxWork     = time.Minute
	minInterval = 50 * time.Millisecond
	maxInterval = time.Minute
)

// Check returns a *node.SettingsError that lists every wrong setting, or nil.
func (s Settings) Check() error {
	var problems []*node.SettingError
	require := func(ok bool, name, value, allowed string) {
		if !ok {
			problems = append(problems, &node.SettingError{Name: name, Value: value, Allowed: allowed})
		}
	}
	require(s.Service != "", "service", strconv.Quote(s.Service), "the service of its node")
	for _, a := range []struct{ name, addr string }{{"addr", s.Addr}, {"node-admin", s.NodeAdmin}, {"node-outbound", s.NodeOutbound}} {
		_, _, err := net.SplitHostPort(a.addr)
		require(err == nil, a.name, strconv.Quote(a.addr), "host:port")
	}
	require(s.Work >= 0 && s.Work <= maxWork, "work", s.Work.String(), "0s to "+maxWork.String())
	require(s.Slots >= 1 && s.Slots <= maxSlots, "slots", strconv.Itoa(s.Slots), "1 to 100000")
	require(s.CrashPath == "" || s.CrashPath[0] == '/', "ends-at", strconv.Quote(s.CrashPath), "a path that begins with a slash")
	require(s.Interval >= minInterval && s.Interval <= maxInterval, "interval", s.Interval.String(), minInterval.String()+" to "+maxInterval.String())
	if len(problems) == 0 {
		return nil
	}
	return &node.SettingsError{Problems: problems}
}

// ListenError means that the stand-in could not listen on its address.
type ListenError struct {
	Addr  string
	Cause error
}

// Error implements error.
func (e *ListenError) Error() string { return "listen on " + e.Addr + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// AnnounceError means that the node did not accept an announcement.
type AnnounceError struct {
	Node string
	// Status is the status of the node's response, 0 if there was none.
	Status int
	Detail string
	Cause  error
}

// Error implements error.
func (e *AnnounceError) Error() string {
	text := "announce to node " + e.Node + ": "
	if e.Cause != nil {
		return text + e.Cause.Error()
	}
	return text + "status " + strconv.Itoa(e.Status) + " " + e.Detail
}

// Unwrap returns the cause.
func (e *AnnounceError) Unwrap() error { return e.Cause }
