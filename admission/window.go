package admission

import (
	"math"
	"time"
)

// windowState holds the measurements of the current window. The gate's lock
// guards it.
type windowState struct {
	start        time.Duration
	waitSum      time.Duration
	waitCount    int
	queueRefused int
	// The sum and number of the preferences of calls that found no free
	// capacity.
	preferenceSum   float64
	preferenceCount int
	// capacityExhausted is set if a call found no free capacity.
	capacityExhausted bool

	// previousTotals are the arrivals by level since the gate was created, as
	// of the start of the window; arrivals are those of the last window.
	previousTotals [levels]uint32
	arrivals       [levels]uint32
	ok             uint64
	shed           uint64
	finished       float64
	samples        []sample
	// meanSelf and meanService are moving means over all profiles, in
	// nanoseconds.
	meanSelf    float64
	meanService float64
	// spacing is the mean time between the ends of two visits at full load, in
	// nanoseconds.
	spacing float64
}

// pressureState is the state of the pressure computation. The gate's lock
// guards it.
type pressureState struct {
	value pressure
	since time.Duration
	// The remaining fields belong to the current pressure window.
	waitSum            time.Duration
	waitCount, refused int
	// admitted is the total of admitted calls at the start of the window.
	admitted uint64
}

const (
	thousand = 1000
	// maxRateLoad bounds the load of a rate, in thousandths.
	maxRateLoad = 100 * thousand
)

// meanWeight is the weight of one window in the moving means.
const meanWeight = 0.3

// tickIfDue closes the window if its time has passed. Calls do this instead of
// a goroutine, because a gate without calls has nothing to decide.
func (g *Gate) tickIfDue(now time.Duration) {
	due := g.nextTick.Load()
	if int64(now) < due {
		return
	}
	if !g.nextTick.CompareAndSwap(due, int64(now+g.config.Window)) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tick(now)
}

// tick closes the window. The gate's lock is held.
func (g *Gate) tick(now time.Duration) {
	w := &g.window
	elapsed := now - w.start
	if elapsed <= 0 {
		return
	}
	m := g.measure(elapsed)
	g.limiter.update(m, now)
	g.limit.Store(int32(g.limiter.effective(now)))
	g.learnCapacity()
	if g.config.SlotShare == 0 {
		g.levelController.update(g.measureDemand(elapsed, now))
		g.level.Store(uint32(g.levelController.level))
		g.inherited.Store(uint32(g.levelController.inheritedLevel()))
	}
	g.updatePressure(now)
	w.start = now
	w.waitSum, w.waitCount, w.queueRefused, w.capacityExhausted = 0, 0, 0, false
	w.preferenceSum, w.preferenceCount = 0, 0
	if g.queue.size > 0 {
		g.dispatch(now)
	}
}

// updatePressure adds the window to the pressure window, and updates the
// pressure at the end of the latter. The gate's lock is held.
func (g *Gate) updatePressure(now time.Duration) {
	w, p := &g.window, &g.pressureState
	p.waitSum += w.waitSum
	p.waitCount += w.waitCount
	p.refused += w.queueRefused
	elapsed := now - p.since
	if elapsed < PressureWindow {
		return
	}
	p.since = now
	admitted := uint64(0)
	for i := range g.shards {
		admitted += g.shards[i].admitted.Load()
	}
	load := pressureLoad{
		refused:     p.refused,
		arrived:     int(admitted-p.admitted) + p.refused,
		meanService: time.Duration(w.meanService),
	}
	p.admitted = admitted
	var calls, slotSeconds float64
	for _, profile := range g.profiles.all() {
		n, seconds := profile.offered()
		calls += n
		slotSeconds += seconds
	}
	load.offered = slotSeconds / (elapsed.Seconds() * float64(max(int(g.limit.Load()), 1)))
	if g.rate.limited {
		load.offered = max(load.offered, calls/(elapsed.Seconds()*g.rate.rate))
		g.rate.observe(load.arrived, elapsed)
		g.rateLoad.Store(int32(min(g.rate.load*thousand, maxRateLoad)))
	}
	if p.waitCount > 0 {
		load.meanWait = p.waitSum / time.Duration(p.waitCount)
	}
	p.value.update(load)
	p.waitSum, p.waitCount, p.refused = 0, 0, 0
	g.pressurePerMille.Store(int32(p.value.value * thousand))
}

// measure collects the limiter's input from the window.
func (g *Gate) measure(elapsed time.Duration) measurement {
	w := &g.window
	var ok, shed uint64
	for i := range g.shards {
		ok += g.shards[i].ok.Load()
		shed += g.shards[i].shed.Load()
	}
	m := measurement{ok: ok - w.ok, shed: shed - w.shed, elapsed: elapsed}
	w.ok, w.shed = ok, shed
	w.samples = w.samples[:0]
	var self, service time.Duration
	count := uint64(0)
	for _, p := range g.profiles.all() {
		if p.pending() < minSamples {
			p.decayService()
			continue
		}
		sums := p.take()
		p.learnService(sums.service / time.Duration(sums.count))
		p.learnMean(sums)
		w.samples = append(w.samples, sample{profile: p, count: sums.count, self: sums.self})
		count += sums.count
		self += sums.self
		service += sums.service
	}
	m.samples = w.samples
	m.peakActive, _ = g.counts()
	if w.capacityExhausted {
		m.peakActive = int(g.limit.Load())
	}
	if count > 0 {
		w.learnMeans(float64(self)/float64(count), float64(service)/float64(count))
	}
	w.finished += meanWeight * (float64(m.ok)*float64(g.config.Window)/float64(elapsed) - w.finished)
	return m
}

func (w *windowState) learnMeans(self, service float64) {
	if w.meanSelf == 0 {
		w.meanSelf, w.meanService = self, service
		return
	}
	w.meanSelf += meanWeight * (self - w.meanSelf)
	w.meanService += meanWeight * (service - w.meanService)
}

// learnCapacity derives the spacing of visits from the limits and the mean
// times by Little's law. A count of finished visits would make an idle upstream
// look slow.
func (g *Gate) learnCapacity() {
	w := &g.window
	if w.meanSelf == 0 {
		return
	}
	bySelf := w.meanSelf / float64(max(g.limit.Load(), 1))
	bySlots := w.meanService / float64(max(g.slots.Load(), 1))
	w.spacing = math.Max(bySelf, bySlots)
}

// measureDemand collects the level controller's input from the window.
func (g *Gate) measureDemand(elapsed, now time.Duration) windowDemand {
	w := &g.window
	for i := range w.arrivals {
		total := uint32(0)
		for s := range g.shards {
			total += g.shards[s].arrivals[i].Load()
		}
		w.arrivals[i] = total - w.previousTotals[i]
		w.previousTotals[i] = total
	}
	d := windowDemand{
		arrivals:     &w.arrivals,
		capacity:     w.finished,
		queueRefused: w.queueRefused,
		preference:   g.config.Preference,
		windows:      max(int(elapsed/g.config.Window), 1),
	}
	if spacing := max(w.spacing, g.rate.spacing()); spacing > 0 {
		d.capacity = float64(g.config.Window) / spacing
	}
	if w.preferenceCount > 0 {
		d.preference = w.preferenceSum / float64(w.preferenceCount)
	}
	if w.waitCount > 0 {
		d.meanWait = w.waitSum / time.Duration(w.waitCount)
	}
	if since, ok := g.queue.oldest(); ok {
		d.oldestWait = now - since
	}
	return d
}
