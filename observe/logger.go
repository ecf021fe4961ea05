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
	// Output gets one line for each event. Lines are written one at a time,
	// by the goroutine that emits; a slow output slows that goroutine.
	Output io.Writer
	// Format is Logfmt (the default), easy to read on a terminal, or JSON,
	// easy for collectors.
	Format LogFormat
	// Level is the lowest severity that is written. Debug shows each replayed
	// key, which is much under load.
	Level Severity
	// EventRate is how many lines a second one event may write once its burst
	// is used up (0: DefaultEventRate). A high rate tells more during
	// overload and costs CPU time just then.
	EventRate float64
	// EventBurst is how many lines of one event may be written at once
	// (0: DefaultEventBurst).
	EventBurst int
	// Now gives the time of lines and limits (nil: time.Now).
	Now func() time.Time
}

// Logger writes numbered events.
type Logger struct {
	kit    log.Logger
	level  Severity
	now    func() time.Time
	events map[int]*eventState
	// dropped counts the lines that the output could not take.
	dropped func() int64
}

// eventState limits the lines of one event. Without it an overload of many
// thousand refusals a second would be logged line by line, and the log itself
// would take the CPU time that calls need.
type eventState struct {
	limiter *rate.Limiter
	leftOut atomic.Int64
	// total is what was left out since the start.
	total atomic.Int64
}

// NewLogger returns a Logger, or a *SettingError for an unknown format or a
// missing output.
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
	for _, e := range catalogue {
		limit, burst := config.EventRate, config.EventBurst
		if e.Rate > 0 {
			limit, burst = e.Rate, int(e.Burst)
		}
		l.events[e.ID] = &eventState{limiter: rate.NewLimiter(rate.Limit(limit), burst)}
	}
	return l, nil
}

func noDrops() int64 { return 0 }

// LinesLost returns how many lines were not written since the start: those over
// their event's rate, and those that the output dropped, if it is a LineWriter.
func (l *Logger) LinesLost() (leftOut, dropped int64) {
	for _, state := range l.events {
		leftOut += state.total.Load()
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

// With returns a Logger that adds fields to each line. It shares the rate
// limits of l.
func (l *Logger) With(fields ...Field) *Logger {
	child := *l
	child.kit = log.With(l.kit, appendFields(nil, fields)...)
	return &child
}

// Emit writes one event. Lines over the event's rate are counted instead; the
// next line that is written tells their number as left_out.
func (l *Logger) Emit(e Event, fields ...Field) {
	if l.wants(e) {
		l.write(e, l.events[e.ID], fields)
	}
}

// wants reports whether a line of e may be written now, and counts it as left
// out if its rate is used up.
func (l *Logger) wants(e Event) bool {
	if e.Level < l.level {
		return false
	}
	state := l.events[e.ID]
	if state != nil && !state.limiter.AllowN(l.now(), 1) {
		state.leftOut.Add(1)
		state.total.Add(1)
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
	// A log that can't be written has nowhere to be reported; calls go on.
	_ = l.kit.Log(pairs...)
}

// Flush writes one EventsLeftOut line for each event with repeats that no
// later line has told. Call it every few seconds and at the end of the process.
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
