package admission

import (
	"math"
	"sync"
	"time"

	"pollengauge.dev/call"
)

// Tuning of a Shedder.
const (
	// shedderDecay is what each second leaves of the arrivals counted before.
	shedderTick  = 250 * time.Millisecond
	shedderDecay = 0.7
	// heardSpan is the time over which answers are averaged to a profile's
	// pressure. Answers come from several upstreams of unlike speed; at a hundred
	// a second each counts 6 %, and one after a second of silence nearly all.
	heardSpan = 160 * time.Millisecond
	// heardLife is how long a pressure is believed without an answer. After it
	// some requests are let through, which bring news.
	heardLife = time.Second
	heardKept = 0.8
)

// Shedder refuses requests where they begin, by the pressure of the deepest
// upstream that they lead to.
//
// Load pattern: more requests come than the upstreams below carry. The least
// important ones are refused before any work is done, and of one priority
// those of the callers that ask most. Which levels those are depends on what
// comes here: the Shedder counts the arrivals that are under pressure by level
// and refuses below the level that leaves out the wanted share.
type Shedder struct {
	mu       sync.Mutex
	profiles map[string]*heard
	arrivals [levels]float64
	total    float64
	next     time.Time
	// threshold is the level for each tenth of a percent that was asked for
	// since the last tick.
	thresholds map[int]call.Level
}

// heard is what answers told of one profile.
type heard struct {
	value float64
	// at is when value was last brought up to date, heardAt when an answer was.
	at, heardAt time.Time
}

// NewShedder returns a Shedder that refuses nothing.
func NewShedder() *Shedder {
	return &Shedder{profiles: make(map[string]*heard), thresholds: make(map[int]call.Level)}
}

// Heard takes the pressure, 0 to 1, that an answer brought for a profile.
func (s *Shedder) Heard(profile string, value float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.profiles[profile]
	if h == nil {
		if len(s.profiles) >= maxProfiles {
			return
		}
		h = &heard{value: value, heardAt: now}
		s.profiles[profile] = h
	}
	weight := 1 - math.Exp(-float64(now.Sub(h.heardAt))/float64(heardSpan))
	h.value += max(weight, 0) * (value - h.value)
	h.at, h.heardAt = now, now
}

// Pressure is what is known of a profile's pressure.
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
	if now.Sub(h.at) > heardLife {
		h.value *= heardKept
		h.at = now
	}
	return h.value
}

// noPressure is what counts as none.
const noPressure = 0.005

// Admission is a Shedder's decision.
type Admission struct {
	Admitted bool
	// InForce is the lowest level that is let in.
	InForce call.Level
	// HeldBack is the share of the requests like this one that are refused.
	HeldBack float64
}

// Admit decides whether a request may begin.
func (s *Shedder) Admit(profile string, level call.Level, now time.Time) Admission {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tick(now)
	value := s.pressure(profile, now)
	if value < noPressure {
		return Admission{Admitted: true}
	}
	s.arrivals[min(level, call.MaxLevel)]++
	s.total++
	threshold := s.threshold(value)
	return Admission{Admitted: level >= threshold, InForce: threshold, HeldBack: value}
}

// tick lets old arrivals fade.
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
}

// threshold is the lowest level to admit so that the share of the arrivals is
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
