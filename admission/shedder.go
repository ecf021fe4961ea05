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
	// workWeight is the weight of one answer in what a kind's requests take. Work
	// varies more than pressure, and changes with releases, not with the load.
	workWeight = 0.05
)

// Shedder refuses requests where they begin, by the pressure of the deepest
// upstream that they lead to.
//
// Load pattern: more requests come than the upstreams below carry. The least
// important ones are refused before any work is done, and of one priority
// those of the callers that ask most, and of the kinds that take most of what is
// short (see place). Which levels those are depends on what comes here: the Shedder
// counts the arrivals that are under pressure by level, each by the work that it
// would bring, and refuses below the level that leaves out the wanted share.
type Shedder struct {
	mu       sync.Mutex
	profiles map[string]*heard
	arrivals [levels]float64
	total    float64
	next     time.Time
	// usual is the work of a kind of which none is known.
	usual float64
	// threshold is the level for each tenth of a percent that was asked for
	// since the last tick.
	thresholds map[int]call.Level
}

// heard is what answers told of one profile.
type heard struct {
	value float64
	// at is when value was last brought up to date, heardAt when an answer was.
	at, heardAt time.Time
	// work is what a request takes of the overloaded upstream, in milliseconds of
	// its slots, 0 while unknown. priority is that of the latest request.
	work     float64
	priority call.Priority
	// weight is as in place, set with each tick.
	weight float64
}

// NewShedder returns a Shedder that refuses nothing.
func NewShedder() *Shedder {
	return &Shedder{profiles: make(map[string]*heard), usual: usualWork, thresholds: make(map[int]call.Level)}
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
		h = &heard{value: value, heardAt: now, weight: 1}
		s.profiles[profile] = h
	}
	weight := 1 - math.Exp(-float64(now.Sub(h.heardAt))/float64(heardSpan))
	h.value += max(weight, 0) * (value - h.value)
	h.at, h.heardAt = now, now
}

// HeardWork takes what an answer brought for a profile of the work that its request
// made at the upstream that is short, in milliseconds. 0 says nothing.
func (s *Shedder) HeardWork(profile string, ms int) {
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
	return s.decayed(h, now)
}

// decayed is a pressure that is believed less the longer no answer came.
func (s *Shedder) decayed(h *heard, now time.Time) float64 {
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
	h := s.profiles[profile]
	h.priority = level.Priority()
	work := h.work
	if work == 0 {
		work = s.usual
	}
	placed := place(min(level, call.MaxLevel), h.weight)
	s.arrivals[placed] += work
	s.total += work
	threshold := s.threshold(value)
	return Admission{Admitted: placed >= threshold, InForce: threshold, HeldBack: value}
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
	s.compare(now)
}

// compare sets the weight of each kind under pressure, and the work of a kind of
// which none is known: the mean of the others.
func (s *Shedder) compare(now time.Time) {
	var least [call.MaxPriority + 1]float64
	sum, known := 0.0, 0
	for _, h := range s.profiles {
		if h.work == 0 || s.decayed(h, now) < noPressure {
			continue
		}
		sum += h.work
		known++
		if first := least[h.priority] == 0; first || h.work < least[h.priority] {
			least[h.priority] = h.work
		}
	}
	s.usual = usualWork
	if known > 0 {
		s.usual = sum / float64(known)
	}
	for _, h := range s.profiles {
		h.weight = weightOf(h.work, least[h.priority])
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
