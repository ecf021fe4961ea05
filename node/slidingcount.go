package node

import "time"

const (
	// slidingCountTime is the length of the window of a slidingCount.
	slidingCountTime  = 4 * time.Second
	slidingCountSteps = 40
	slidingCountStep  = slidingCountTime / slidingCountSteps
)

// slidingCount counts events within the last slidingCountTime, in steps. The caller
// serializes its use.
type slidingCount struct {
	steps [slidingCountSteps]int
	total int
	// last is the number of the step of the latest event.
	last int64
}

// add counts one event and returns the number of events within the window.
func (s *slidingCount) add(now time.Time) int {
	step := now.UnixNano() / int64(slidingCountStep)
	for expired := min(step-s.last, slidingCountSteps); expired > 0; expired-- {
		slot := (step - expired + 1) % slidingCountSteps
		s.total -= s.steps[slot]
		s.steps[slot] = 0
	}
	s.last = max(s.last, step)
	s.steps[s.last%slidingCountSteps]++
	s.total++
	return s.total
}
