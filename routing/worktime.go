package routing

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"sync"
	"time"
)

// MaxWorkTimes is the number of profiles for which a target announces its work
// time. An upstream serves few profiles, and the rare ones have little effect.
const MaxWorkTimes = 4

const (
	// maxMeanWeight is the weight of past calls in the mean work time. If call
	// durations follow a log-normal distribution with a deviation of 0.8, a
	// mean of so many calls varies by about 4 %. After an upstream turns four
	// times as slow, the change exceeds minRelativeChange after 18 calls.
	maxMeanWeight = 256
	// minMeanSamples is the number of calls that a mean needs before it is
	// announced. It then varies by a quarter, which is less than the
	// differences between upstreams.
	minMeanSamples = 16
	// minRelativeChange is the relative change of a mean that causes a new
	// announcement. It is well above the mean's random variation, because each
	// announcement costs a message to every member.
	minRelativeChange = 0.2
	// announceInterval is the minimum interval between two announcements. If
	// 560 members all change at once, this limits them to about 100
	// announcements a second. A profile that is announced for the first time
	// only waits for firstAnnounceInterval, because until then its calls are
	// placed without regard to work times.
	announceInterval      = 5 * time.Second
	firstAnnounceInterval = 1500 * time.Millisecond
	// maxMeasuredProfiles bounds the number of measured profiles, at the value
	// of config.MaxProfiles.
	maxMeasuredProfiles = 256
	// rateDecay is the factor that a profile's call rate retains at each
	// update.
	rateDecay = 0.9
	// minRate is the rate below which a profile is forgotten.
	minRate = 0.01
	// announcedRateFactor is the factor by which the rate of an already
	// announced profile is raised when profiles are ranked, so that two
	// profiles with similar rates don't alternate.
	announcedRateFactor = 2
)

// WorkTime is the mean time that an upstream works on a call of one profile.
// The time in which it waits for its own downstream calls is left out, because
// other upstreams spend it.
type WorkTime struct {
	// Profile is the ProfileKey of the profile's name, 0 for an empty entry.
	Profile uint32
	Micros  uint32
}

// WorkTimes holds the work times of one target.
type WorkTimes [MaxWorkTimes]WorkTime

// ProfileKey returns the hash of a profile's name that identifies it on all
// nodes.
func ProfileKey(name string) uint32 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(name))
	return max(hash.Sum32(), 1)
}

// forProfile returns the work time of a profile in microseconds, 0 if it isn't
// known.
func (w *WorkTimes) forProfile(profile uint32) int64 {
	for _, one := range w {
		if one.Profile == profile && profile != 0 {
			return int64(one.Micros)
		}
	}
	return 0
}

// WorkMeter measures how long an upstream works on the calls of each profile,
// and decides when to announce it. The zero value is ready to use.
type WorkMeter struct {
	mu          sync.Mutex
	profiles    map[uint32]*workMean
	announced   WorkTimes
	announcedAt time.Time
}

type workMean struct {
	micros  float64
	samples int
	// recent counts the calls since the last call of Announcement. rate is the decayed
	// count of the calls before.
	recent int
	rate   float64
}

// Add records the work time of one call.
func (w *WorkMeter) Add(profile string, took time.Duration) {
	key := ProfileKey(profile)
	w.mu.Lock()
	defer w.mu.Unlock()
	mean := w.profiles[key]
	if mean == nil {
		if len(w.profiles) >= maxMeasuredProfiles {
			return
		}
		if w.profiles == nil {
			w.profiles = make(map[uint32]*workMean)
		}
		mean = &workMean{}
		w.profiles[key] = mean
	}
	mean.samples = min(mean.samples+1, maxMeanWeight)
	mean.recent++
	mean.micros += (float64(took.Microseconds()) - mean.micros) / float64(mean.samples)
}

// Mean returns the mean work time of a profile's calls, 0 if too few were measured.
func (w *WorkMeter) Mean(profile string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	mean := w.profiles[ProfileKey(profile)]
	if mean == nil || mean.samples < minMeanSamples {
		return 0
	}
	return time.Duration(mean.micros * float64(time.Microsecond))
}

// Reset discards the measurements, because another upstream has taken over.
func (w *WorkMeter) Reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.profiles)
}

// Announcement returns the work times of the busiest profiles, and whether they must be
// announced to the other members. It should be called about once a second.
func (w *WorkMeter) Announcement(now time.Time) (WorkTimes, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.decayRates()
	next := w.busiest()
	since := now.Sub(w.announcedAt)
	if since < w.minInterval(next) || !isWorthAnnouncing(w.announced, next) {
		return w.announced, false
	}
	w.announced, w.announcedAt = next, now
	return next, true
}

// minInterval returns the minimum interval between the last announcement and
// the announcement of next.
func (w *WorkMeter) minInterval(next WorkTimes) time.Duration {
	for _, one := range next {
		if one.Profile != 0 && w.announced.forProfile(one.Profile) == 0 {
			return firstAnnounceInterval
		}
	}
	return announceInterval
}

// decayRates decays the call rates and removes profiles that are no longer
// called.
func (w *WorkMeter) decayRates() {
	for key, mean := range w.profiles {
		mean.rate = mean.rate*rateDecay + float64(mean.recent)
		mean.recent = 0
		if mean.rate < minRate {
			delete(w.profiles, key)
		}
	}
}

// busiest returns the means of the profiles with the highest rates, sorted by
// key.
func (w *WorkMeter) busiest() WorkTimes {
	keys := make([]uint32, 0, len(w.profiles))
	for key, mean := range w.profiles {
		if mean.samples >= minMeanSamples {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b uint32) int { return cmp.Or(cmp.Compare(w.rank(b), w.rank(a)), cmp.Compare(a, b)) })
	keys = keys[:min(len(keys), MaxWorkTimes)]
	slices.Sort(keys)
	var times WorkTimes
	for i, key := range keys {
		micros := min(max(w.profiles[key].micros, 1), math.MaxUint32)
		times[i] = WorkTime{Profile: key, Micros: uint32(micros)}
	}
	return times
}

func (w *WorkMeter) rank(key uint32) float64 {
	rate := w.profiles[key].rate
	if w.announced.forProfile(key) > 0 {
		rate *= announcedRateFactor
	}
	return rate
}

// isWorthAnnouncing reports whether one of the next times differs enough from
// the announced ones to be announced.
func isWorthAnnouncing(announced, next WorkTimes) bool {
	for _, one := range next {
		before := announced.forProfile(one.Profile)
		if one.Profile == 0 {
			continue
		}
		if before == 0 || math.Abs(float64(one.Micros)/float64(before)-1) >= minRelativeChange {
			return true
		}
	}
	return false
}
