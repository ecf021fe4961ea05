package admission

import (
	"math"
	"sync"
	"time"

	"pollengauge.dev/call"
)

// Parameters of a Shedder.
const (
	// shedderDecay is the factor on the counted arrivals after each shedderTick.
	shedderTick  = 250 * time.Millisecond
	shedderDecay = 0.7
	// pressureSmoothing is the time constant for averaging the pressures that
	// responses report for a profile. The responses come from several upstreams
	// of different speed. At a hundred responses a second each counts 6 %; a
	// response after a second without any counts almost fully.
	pressureSmoothing = 160 * time.Millisecond
	// pressureTTL is how long a pressure is used unchanged without a response.
	// After that it decays by pressureDecay, so that some requests are admitted
	// again and bring back a current value.
	pressureTTL   = time.Second
	pressureDecay = 0.8
	// workWeight is the weight of one response in the mean work of a profile's
	// requests. Work varies more than pressure, and changes with releases
	// rather than with load.
	workWeight = 0.05
)

// Shedder refuses requests at the root, by the pressure of the upstreams that
// they lead to, as responses report it.
//
// Load pattern: more requests arrive than those upstreams can serve. The least
// important ones are refused before any work is done; within a priority, the
// refused ones are those of the callers that send most and of the profiles that
// take most of the overloaded upstream (see weightedLevel). Which levels these
// are depends on the requests that arrive: the Shedder counts the arrivals
// under pressure by level, each weighted with its work, and refuses the
// requests below the level at which the wanted share of the work is refused.
type Shedder struct {
	mu       sync.Mutex
	profiles map[string]*profilePressure
	arrivals [levels]float64
	total    float64
	next     time.Time
	// fallbackWork is the work assumed for a profile whose work is unknown.
	fallbackWork float64
	// thresholds caches the levels computed since the last tick, by share in
	// tenths of a percent.
	thresholds map[int]call.Level
}

// profilePressure is the state of one profile, learned from responses.
type profilePressure struct {
	value float64
	// updatedAt is when value was last updated, respondedAt when the last
	// response came.
	updatedAt, respondedAt time.Time
	// work is how much of the overloaded upstream a request takes, in
	// milliseconds of its slots; 0 means unknown. priority is the priority of
	// the latest request.
	work     float64
	priority call.Priority
	// weight is the weight passed to weightedLevel, computed at each tick.
	weight float64
}

// NewShedder returns a Shedder that refuses nothing until it learns of a
// pressure.
func NewShedder() *Shedder {
	return &Shedder{profiles: make(map[string]*profilePressure), fallbackWork: defaultWork, thresholds: make(map[int]call.Level)}
}

// ObservePressure records the pressure, from 0 to 1, that a response reported for a
// profile.
func (s *Shedder) ObservePressure(profile string, value float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.profiles[profile]
	if h == nil {
		if len(s.profiles) >= maxProfiles {
			return
		}
		h = &profilePressure{value: value, respondedAt: now, weight: 1}
		s.profiles[profile] = h
	}
	weight := 1 - math.Exp(-float64(now.Sub(h.respondedAt))/float64(pressureSmoothing))
	h.value += max(weight, 0) * (value - h.value)
	h.updatedAt, h.respondedAt = now, now
}

// ObserveWork records the work of a request of the profile at the overloaded
// upstream, in milliseconds, as its response reported it. 0 means unknown.
func (s *Shedder) ObserveWork(profile string, ms int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.profiles[profile]
	switch {
	case h == nil || ms <= 0:
	case h.work == 0:
		h.work = float64(ms)
	default:
		h.work += workWeight * (float64(ms) - h.work)
	}
}

// Work returns how long a request of the profile occupies slots of the overloaded upstream,
// 0 if that is unknown.
func (s *Shedder) Work(profile string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.profiles[profile]
	if h == nil {
		return 0
	}
	return time.Duration(h.work * float64(time.Millisecond))
}

// Pressure returns the last known pressure of a profile.
func (s *Shedder) Pressure(profile string, now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pressure(profile, now)
}

func (s *Shedder) pressure(profile string, now time.Time) float64 {
	h := s.profiles[profile]
	if h == nil {
		return 0
	}
	return s.decayedPressure(h, now)
}

// decayedPressure returns a profile's pressure, which decays while no response
// comes.
func (s *Shedder) decayedPressure(h *profilePressure, now time.Time) float64 {
	if now.Sub(h.updatedAt) > pressureTTL {
		h.value *= pressureDecay
		h.updatedAt = now
	}
	return h.value
}

// negligiblePressure is the pressure below which nothing is refused.
const negligiblePressure = 0.005

// Decision is the decision of a Shedder.
type Decision struct {
	Admitted bool
	// MinLevel is the lowest admitted level.
	MinLevel call.Level
	// RefusedShare is the share of requests of the same profile that are refused.
	RefusedShare float64
}

// Admit decides whether a request may begin.
func (s *Shedder) Admit(profile string, level call.Level, now time.Time) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tick(now)
	value := s.pressure(profile, now)
	if value < negligiblePressure {
		return Decision{Admitted: true}
	}
	h := s.profiles[profile]
	h.priority = level.Priority()
	work := h.work
	if work == 0 {
		work = s.fallbackWork
	}
	placed := weightedLevel(min(level, call.MaxLevel), h.weight)
	s.arrivals[placed] += work
	s.total += work
	threshold := s.threshold(value)
	return Decision{Admitted: placed >= threshold, MinLevel: threshold, RefusedShare: value}
}

// tick decays the counted arrivals.
func (s *Shedder) tick(now time.Time) {
	if now.Before(s.next) {
		return
	}
	s.next = now.Add(shedderTick)
	clear(s.thresholds)
	s.total = 0
	for i := range s.arrivals {
		s.arrivals[i] *= shedderDecay
		s.total += s.arrivals[i]
	}
	s.updateWeights(now)
}

// updateWeights sets the weight of each profile and the work assumed for profiles
// whose work is unknown: the mean of the known ones under pressure.
func (s *Shedder) updateWeights(now time.Time) {
	var cheapest [call.MaxPriority + 1]float64
	sum, known := 0.0, 0
	for _, h := range s.profiles {
		if h.work == 0 || s.decayedPressure(h, now) < negligiblePressure {
			continue
		}
		sum += h.work
		known++
		if first := cheapest[h.priority] == 0; first || h.work < cheapest[h.priority] {
			cheapest[h.priority] = h.work
		}
	}
	s.fallbackWork = defaultWork
	if known > 0 {
		s.fallbackWork = sum / float64(known)
	}
	for _, h := range s.profiles {
		h.weight = costWeight(h.work, cheapest[h.priority])
	}
}

// threshold returns the lowest level to admit so that this share of the work is
// refused.
func (s *Shedder) threshold(share float64) call.Level {
	const thousand = 1000
	key := int(share * thousand)
	if level, ok := s.thresholds[key]; ok {
		return level
	}
	left := share * s.total
	level := 0
	for level < levels-1 && left >= s.arrivals[level] {
		left -= s.arrivals[level]
		level++
	}
	s.thresholds[key] = call.Level(level)
	return call.Level(level)
}
