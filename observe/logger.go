package observe

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/time/rate"
)

// LogFormat is the encoding of log lines.
type LogFormat string

// The formats of log lines.
const (
	Logfmt LogFormat = "logfmt"
	JSON   LogFormat = "json"
)

// Defaults of LoggerConfig.
const (
	DefaultEventRate  = 2
	DefaultEventBurst = 20
)

// LoggerConfig configures a Logger.
type LoggerConfig struct {
	// Output receives the log lines. Each line is written by the goroutine that
	// emits the event, one line at a time, so a slow output blocks that goroutine.
	Output io.Writer
	// Format is Logfmt (the default), which is easy to read on a terminal, or
	// JSON, which is easy to parse for log collectors.
	Format LogFormat
	// Level is the lowest severity that is written. Debug logs each replayed key,
	// which is many lines under load.
	Level Severity
	// EventRate is the number of lines per second that one event may write once
	// its burst is used up (0: DefaultEventRate). A high rate logs more during
	// overload, and costs CPU time when it is scarce.
	EventRate float64
	// EventBurst is the number of lines that one event may write at once
	// (0: DefaultEventBurst).
	EventBurst int
	// Now returns the time for timestamps and rate limits (nil: time.Now).
	Now func() time.Time
}

// Logger writes numbered events.
type Logger struct {
	kit    log.Logger
	level  Severity
	now    func() time.Time
	events map[int]*eventState
	// dropped returns the number of lines that the output dropped.
	dropped func() int64
}

// eventState limits the log lines of one event. Without the limit, an overload
// with many thousand refusals per second would write a line for each, and logging
// would take the CPU time that calls need.
type eventState struct {
	limiter *rate.Limiter
	leftOut atomic.Int64
	// totalLeftOut is the number of lines left out since the start; leftOut is the
	// part that no line has reported yet.
	totalLeftOut atomic.Int64
}

// NewLogger returns a Logger. It fails with a *SettingError if the format is
// unknown or the output is missing.
func NewLogger(config LoggerConfig) (*Logger, error) {
	if config.Output == nil {
		return nil, &SettingError{Setting: "log output", Want: "a writer"}
	}
	if config.EventRate == 0 {
		config.EventRate = DefaultEventRate
	}
	if config.EventBurst == 0 {
		config.EventBurst = DefaultEventBurst
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	kit, err := newKit(config)
	if err != nil {
		return nil, err
	}
	l := &Logger{kit: kit, level: config.Level, now: config.Now, events: make(map[int]*eventState), dropped: noDrops}
	if output, ok := config.Output.(interface{ Dropped() int64 }); ok {
		l.dropped = output.Dropped
	}
	for _, e := range eventCatalogue {
		limit, burst := config.EventRate, config.EventBurst
		if e.Rate > 0 {
			limit, burst = e.Rate, int(e.Burst)
		}
		l.events[e.ID] = &eventState{limiter: rate.NewLimiter(rate.Limit(limit), burst)}
	}
	return l, nil
}

func noDrops() int64 { return 0 }

// LinesLost returns the number of lines that were not written since the start:
// the lines over their event's rate, and the lines dropped by the output if it is
// a LineWriter.
func (l *Logger) LinesLost() (leftOut, dropped int64) {
	for _, state := range l.events {
		leftOut += state.totalLeftOut.Load()
	}
	return leftOut, l.dropped()
}

func newKit(config LoggerConfig) (log.Logger, error) {
	output := log.NewSyncWriter(config.Output)
	var kit log.Logger
	switch config.Format {
	case Logfmt, "":
		kit = log.NewLogfmtLogger(output)
	case JSON:
		kit = log.NewJSONLogger(output)
	default:
		return nil, &SettingError{Setting: "log format", Value: string(config.Format), Want: "logfmt or json"}
	}
	kit = level.NewFilter(kit, level.Allow(config.Level.value()))
	timestamp := log.TimestampFormat(func() time.Time { return config.Now().UTC() }, time.RFC3339Nano)
	return log.With(kit, "ts", timestamp), nil
}

// NopLogger returns a Logger that writes nothing.
func NopLogger() *Logger {
	return &Logger{kit: log.NewNopLogger(), level: Error + 1, now: time.Now, dropped: noDrops}
}

// With returns a Logger that adds fields to each line and shares the rate limits
// of l.
func (l *Logger) With(fields ...Field) *Logger {
	child := *l
	child.kit = log.With(l.kit, appendFields(nil, fields)...)
	return &child
}

// Emit writes one event. Lines over the event's rate are counted instead of
// written; the next written line reports their number in the field left_out.
func (l *Logger) Emit(e Event, fields ...Field) {
	if l.allows(e) {
		l.write(e, l.events[e.ID], fields)
	}
}

// allows reports whether a line of e may be written now. It counts the line as
// left out if the event's rate is used up.
func (l *Logger) allows(e Event) bool {
	if e.Level < l.level {
		return false
	}
	state := l.events[e.ID]
	if state != nil && !state.limiter.AllowN(l.now(), 1) {
		state.leftOut.Add(1)
		state.totalLeftOut.Add(1)
		return false
	}
	return true
}

func (l *Logger) write(e Event, state *eventState, fields []Field) {
	const fixed = 8
	pairs := make([]any, 0, fixed+2*len(fields))
	pairs = append(pairs, level.Key(), e.Level.value(), "event", e.ID, "name", e.Name)
	pairs = appendFields(pairs, fields)
	if state != nil {
		if n := state.leftOut.Swap(0); n > 0 {
			pairs = append(pairs, "left_out", n)
		}
	}
	// An error of the log itself can't be reported anywhere, so it is ignored.
	_ = l.kit.Log(pairs...)
}

// Flush writes one EventsLeftOut line for each event with left-out lines that no
// later line has reported. It should be called every few seconds and before the
// process exits.
func (l *Logger) Flush() {
	for _, e := range Catalogue() {
		state := l.events[e.ID]
		if state == nil {
			continue
		}
		if n := state.leftOut.Swap(0); n > 0 {
			l.write(EventsLeftOut, nil, []Field{Int("of", e.ID), Str("of_name", e.Name), Int64("count", n)})
		}
	}
}

func appendFields(pairs []any, fields []Field) []any {
	for _, f := range fields {
		pairs = append(pairs, f.key, f.value())
	}
	return pairs
}
