package routing

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"sync"
	"time"
)

// MaxWorkTimes is for how many profiles a target tells how long it works. An
// upstream serves few; what is rare among its calls moves little.
const MaxWorkTimes = 4

const (
	// workSamples is the weight of past calls in the mean work time: the mean of
	// so many wavers by some 4 % where single calls differ as in a log-normal
	// distribution with a deviation of 0.8. One that turns four times as slow is
	// news after 18 calls.
	workSamples = 256
	// workWarm is how many calls a mean needs before it is told. It then wavers
	// by a quarter, which is less than upstreams differ.
	workWarm = 16
	// workNews is by what part a mean must have changed to be told again, well
	// above its wavering: each time costs a message to every member.
	workNews = 0.2
	// workPause is the least time between two tellings. 560 members that all
	// change at once then make some 100 changes a second. A profile that is told
	// for the first time waits for firstPause only: until then its calls are
	// placed blindly.
	workPause  = 5 * time.Second
	firstPause = 1500 * time.Millisecond
	// workProfiles bounds the profiles that are measured, as a Set does.
	workProfiles = 256
	// workRateDecay is what remains of a profile's rate after one look.
	workRateDecay = 0.9
	// workRateLeast is the rate under which a profile is forgotten.
	workRateLeast = 0.01
	// workKept is how much a profile's rate counts if it is told already, so
	// that two of like rates don't take turns.
	workKept = 2
)

// WorkTime is how long an upstream works on a call of one profile on average.
// The time in which it waits for calls of its own is left out: that is the time
// of others.
type WorkTime struct {
	// Profile is the ProfileKey of the profile's name, 0 for no entry.
	Profile uint32
	Micros  uint32
}

// WorkTimes are those of one target.
type WorkTimes [MaxWorkTimes]WorkTime

// ProfileKey is a short form of a profile's name that all nodes share.
func ProfileKey(name string) uint32 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(name))
	return max(hash.Sum32(), 1)
}

// of returns the microseconds for a profile, 0 if they aren't known.
func (w *WorkTimes) of(profile uint32) int64 {
	for _, one := range w {
		if one.Profile == profile && profile != 0 {
			return int64(one.Micros)
		}
	}
	return 0
}

// WorkMeter measures how long an upstream works on the calls of each profile.
// The zero value is ready.
type WorkMeter struct {
	mu       sync.Mutex
	profiles map[uint32]*workMean
	told     WorkTimes
	toldAt   time.Time
}

type workMean struct {
	micros  float64
	samples int
	// recent counts the calls since the last look, rate the looks before.
	recent int
	rate   float64
}

// Add takes in one call.
func (w *WorkMeter) Add(profile string, took time.Duration) {
	key := ProfileKey(profile)
	w.mu.Lock()
	defer w.mu.Unlock()
	mean := w.profiles[key]
	if mean == nil {
		if len(w.profiles) >= workProfiles {
			return
		}
		if w.profiles == nil {
			w.profiles = make(map[uint32]*workMean)
		}
		mean = &workMean{}
		w.profiles[key] = mean
	}
	mean.samples = min(mean.samples+1, workSamples)
	mean.recent++
	mean.micros += (float64(took.Microseconds()) - mean.micros) / float64(mean.samples)
}

// Reset forgets what was measured: another upstream has come.
func (w *WorkMeter) Reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.profiles)
}

// News returns the work times of the busiest profiles, and whether the others
// should be told of them. It is to be called about once a second.
func (w *WorkMeter) News(now time.Time) (WorkTimes, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.age()
	next := w.busiest()
	since := now.Sub(w.toldAt)
	if since < w.pause(next) || !differ(w.told, next) {
		return w.told, false
	}
	w.told, w.toldAt = next, now
	return next, true
}

// pause is how long after the last telling next may be told.
func (w *WorkMeter) pause(next WorkTimes) time.Duration {
	for _, one := range next {
		if one.Profile != 0 && w.told.of(one.Profile) == 0 {
			return firstPause
		}
	}
	return workPause
}

// age lets the rates of profiles that are no longer called run out.
func (w *WorkMeter) age() {
	for key, mean := range w.profiles {
		mean.rate = mean.rate*workRateDecay + float64(mean.recent)
		mean.recent = 0
		if mean.rate < workRateLeast {
			delete(w.profiles, key)
		}
	}
}

// busiest returns the means of the profiles with the highest rates, by key.
func (w *WorkMeter) busiest() WorkTimes {
	keys := make([]uint32, 0, len(w.profiles))
	for key, mean := range w.profiles {
		if mean.samples >= workWarm {
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
	if w.told.of(key) > 0 {
		rate *= workKept
	}
	return rate
}

// differ tells whether one of the next times is news.
func differ(told, next WorkTimes) bool {
	for _, one := range next {
		before := told.of(one.Profile)
		if one.Profile == 0 {
			continue
		}
		if before == 0 || math.Abs(float64(one.Micros)/float64(before)-1) >= workNews {
			return true
		}
	}
	return false
}
