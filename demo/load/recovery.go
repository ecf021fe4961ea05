package load

import (
	"time"
)

// Bucket is the resolution of time series and of recovery times.
const Bucket = 100 * time.Millisecond

// These constants define normal service. An operation is counted at its
// planned start, so a backlog that is processed late counts against the time
// at which it was offered, and a user who arrives after the recovery is served
// normally.
const (
	// goodputShare is the smallest goodput of normal service, as a share of
	// the goodput before the surge. Goodput is measured per offered operation,
	// so that random variation of the arrivals doesn't count as a loss.
	goodputShare = 0.95
	// latencyFactor is the highest 99th percentile latency of normal service,
	// as a multiple of that before the surge.
	latencyFactor = 1.5
	// recoveryWindow is the window in which goodput and latency are measured:
	// the shortest that holds enough operations of a class with a rate of
	// about ten per second.
	recoveryWindow = time.Second
	// recoverySteady is how long consecutive windows must be normal.
	recoverySteady = 300 * time.Millisecond
)

// Span is a part of a run.
type Span struct{ Start, End time.Duration }

// RecoveryTime is the result of Recovery.
type RecoveryTime struct {
	// Took is the time from the end of the surge to normal service.
	Took time.Duration
	// Recovered is false if service was not normal again by the end of the
	// observed span. Took is then the length of that span, a lower bound.
	Recovered bool
}

// Recovery returns how long after the end of the surge the service of one
// class was normal again. before is a span of normal service before the surge,
// and until is the end of the span observed after the surge.
func Recovery(records []Record, class int, before Span, surgeEnd, until time.Duration) RecoveryTime {
	normal := measure(records, class, before)
	steady := 0
	requiredWindows := int(recoverySteady / Bucket)
	for at := surgeEnd; at+recoveryWindow <= until; at += Bucket {
		if !measure(records, class, Span{at, at + recoveryWindow}).isNormal(normal) {
			steady = 0
			continue
		}
		steady++
		if steady == requiredWindows {
			return RecoveryTime{Took: at - time.Duration(requiredWindows-1)*Bucket - surgeEnd, Recovered: true}
		}
	}
	return RecoveryTime{Took: until - surgeEnd}
}

// serviceMeasurement holds the measurements of one class over one span.
type serviceMeasurement struct {
	offered int
	whole   int
	p99     time.Duration
}

func measure(records []Record, class int, span Span) serviceMeasurement {
	var s serviceMeasurement
	histogram := newHistogram()
	for _, r := range records {
		if r.Class != class || r.At < span.Start || r.At >= span.End {
			continue
		}
		s.offered++
		if r.Result == Whole {
			s.whole++
			_ = histogram.RecordValue(r.Latency.Microseconds())
		}
	}
	s.p99 = percentile(histogram, tailPercentile)
	return s
}

func (s serviceMeasurement) isNormal(normal serviceMeasurement) bool {
	if normal.whole == 0 || s.whole == 0 {
		return s.offered == 0
	}
	share := float64(s.whole) / float64(s.offered)
	normalShare := float64(normal.whole) / float64(normal.offered)
	return share >= goodputShare*normalShare && float64(s.p99) <= latencyFactor*float64(normal.p99)
}

// Point is one value of a time series.
type Point struct {
	At        time.Duration
	PerSecond float64
}

// Goodput returns the rate of completed operations (Whole) per Bucket, counted
// at the time when they ended.
func Goodput(records []Record, length time.Duration) []Point {
	return series(records, length, func(r Record) (time.Duration, bool) {
		return r.End(), r.Result == Whole
	})
}

// Offered returns the rate of operations per Bucket, counted at their planned
// start.
func Offered(records []Record, length time.Duration) []Point {
	return series(records, length, func(r Record) (time.Duration, bool) {
		return r.At, true
	})
}

func series(records []Record, length time.Duration, when func(Record) (time.Duration, bool)) []Point {
	points := make([]Point, length/Bucket)
	for i := range points {
		points[i].At = time.Duration(i) * Bucket
	}
	for _, r := range records {
		at, counts := when(r)
		if i := int(at / Bucket); counts && i < len(points) {
			points[i].PerSecond += float64(time.Second / Bucket)
		}
	}
	return points
}

// AllClasses selects every class in OfferedIn, WholeIn and StaleIn.
const AllClasses = -1

// OfferedIn returns the number of operations with a planned start in span.
func OfferedIn(records []Record, class int, span Span) float64 {
	return count(records, class, span, func(Record) bool { return true })
}

// WholeIn returns the number of operations with a planned start in span whose
// result is Whole.
func WholeIn(records []Record, class int, span Span) float64 {
	return count(records, class, span, func(r Record) bool { return r.Result == Whole })
}

// StaleIn returns the number of operations with a planned start in span that
// ended with a stored answer.
func StaleIn(records []Record, class int, span Span) float64 {
	return count(records, class, span, func(r Record) bool { return r.Result == Stale })
}

func count(records []Record, class int, span Span, counts func(Record) bool) float64 {
	n := 0
	for _, r := range records {
		in := r.At >= span.Start && r.At < span.End
		if in && (class == AllClasses || class == r.Class) && counts(r) {
			n++
		}
	}
	return float64(n)
}
