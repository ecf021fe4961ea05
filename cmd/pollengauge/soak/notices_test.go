package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// Headers in which an upstream states something about itself.
const (
	headerLimit   = "Server-Limit"
	headerLeaving = "Server-Leaving"
)

// stated is what an incarnation of an upstream states in all its responses.
type stated struct {
	incarnation int
	// limit is in requests a second; 0 means none.
	limit   float64
	leaving bool
}

func (s *stated) write(h http.Header) {
	if s.limit > 0 {
		h.Set(headerLimit, strconv.FormatFloat(s.limit, 'f', -1, 64))
	}
	if s.leaving {
		h.Set(headerLeaving, "1")
	}
}

// Parameters of limits. A limit lasts so much longer than other faults that it must hold
// before it ends.
const (
	limitLasts  = 6 * time.Second
	lowestLimit = 2.0
	limitRange  = 20.0
)

// nameLimit lets the upstream name a limit for a while, and change it once.
func (u *upstream) nameLimit(ctx context.Context) {
	number := u.incarnationNumber()
	for range 2 {
		u.stated.Store(&stated{incarnation: number, limit: lowestLimit + rand.Float64()*limitRange})
		pause(ctx, limitLasts/2)
	}
	u.stated.Store(&stated{})
}

// leave lets the upstream state that it leaves, without a heartbeat that says so, and
// replaces it.
func (u *upstream) leave(ctx context.Context, drain time.Duration) {
	u.stated.Store(&stated{incarnation: u.incarnationNumber(), leaving: true})
	pause(ctx, drain+2*time.Second)
	u.crash()
	_ = u.start()
}

func (u *upstream) incarnationNumber() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.starts
}

// statement returns what an incarnation states now.
func (i *incarnation) statement() stated {
	if s := i.stated.Load(); s.incarnation == i.number {
		return *s
	}
	return stated{}
}

// incarnationKey identifies one incarnation of an upstream.
type incarnationKey struct {
	vm, incarnation int
}

// Bounds of what an upstream may get after it has stated something.
const (
	limitSettles   = 3 * time.Second
	limitToldFor   = 500 * time.Millisecond
	limitWindow    = 4 * time.Second
	limitTolerance = 1.5
	limitSlack     = 5
)

// passedOn returns when each VM first passed on a response in which an incarnation states
// something.
func (j *judgement) passedOn(states func(run) bool) map[incarnationKey]map[int]time.Time {
	bySignature := make(map[string]run, len(j.runs))
	for _, x := range j.runs {
		bySignature[x.signature] = x
	}
	told := make(map[incarnationKey]map[int]time.Time)
	for _, a := range j.answers {
		x, ok := bySignature[a.signature]
		if a.signature == "" || !ok || !states(x) {
			continue
		}
		key := incarnationKey{x.vm, x.incarnation}
		if told[key] == nil {
			told[key] = make(map[int]time.Time)
		}
		if first, known := told[key][a.vm]; !known || a.at.Before(first) {
			told[key][a.vm] = a.at
		}
	}
	return told
}

// forgets reports whether a VM had one of these faults, which excuse that it forgets what
// it passed on, or which delay what it has sent.
func (j *judgement) forgets(vm int, from, to time.Time, faults ...fault) bool {
	for _, d := range j.disturbed {
		if d.vm != vm || !d.from.Before(to) || !d.to.After(from) {
			continue
		}
		for _, excuse := range faults {
			if d.fault == excuse {
				return true
			}
		}
	}
	return false
}

// leavingUpstreamsGetNothing checks that an upstream gets no request that was sent to a VM
// after the drain time since that VM passed on that the upstream leaves.
func (j *judgement) leavingUpstreamsGetNothing() {
	told := j.passedOn(func(x run) bool { return x.stated.leaving })
	for _, x := range j.runs {
		s := j.requests[x.id]
		at, ok := told[incarnationKey{x.vm, x.incarnation}][s.vm]
		if !ok || !x.executed {
			continue
		}
		if sentAt := j.sentBefore(x); sentAt.After(at.Add(j.drain+schedulingDelay)) && !j.forgets(s.vm, at, x.at, killNode, killAll, termNode, pauseNode) {
			j.add("leaving", "%s got %s from VM %d, sent %s after that VM had passed on that it leaves", x.instance, x.id, s.vm, sentAt.Sub(at))
		}
	}
}

// sentBefore returns when the request of a run was last sent before the run.
func (j *judgement) sentBefore(x run) time.Time {
	var last time.Time
	for _, at := range j.sendings[x.id] {
		if !at.After(x.at) && at.After(last) {
			last = at
		}
	}
	return last
}

// statedLimitsHold checks that an upstream that names a limit gets within any window at most
// limitTolerance times what the limit allows, and limitSlack more, from the VMs that passed
// on the limit limitToldFor before.
func (j *judgement) statedLimitsHold() {
	told := j.passedOn(func(x run) bool { return x.stated.limit > 0 })
	windows := make(map[incarnationKey]*limitedWindow)
	arrivals := slices.SortedStableFunc(slices.Values(j.runs), func(a, b run) int { return a.at.Compare(b.at) })
	for _, x := range arrivals {
		key := incarnationKey{x.vm, x.incarnation}
		if told[key] == nil {
			continue
		}
		w := windows[key]
		if w == nil {
			w = &limitedWindow{}
			windows[key] = w
		}
		vm := j.requests[x.id].vm
		at, heard := told[key][vm]
		counted := heard && x.at.Sub(at) >= limitToldFor &&
			!j.forgets(vm, at, x.at, killNode, killAll, termNode, pauseNode, cutPeers, cutOneWay, silenceLinks)
		if count, limit := w.add(x, counted); float64(count) > limitTolerance*limit*limitWindow.Seconds()+limitSlack {
			j.add("stated-limit", "%s, which names a limit of %.1f a second, got %d requests within %s", x.instance, limit, count, limitWindow)
			delete(told, key)
		}
	}
}

// limitedWindow is the window that ends with the latest run at one incarnation.
type limitedWindow struct {
	runs    []run
	counted []bool
	namedAt time.Time
}

// add adds a run, and returns the number of counted runs in the window and the highest limit
// that applied in it. Before the limit must hold, and once it has ended, the number is 0.
func (w *limitedWindow) add(x run, counts bool) (count int, limit float64) {
	if x.stated.limit > 0 && w.namedAt.IsZero() {
		w.namedAt = x.at
	}
	w.runs, w.counted = append(w.runs, x), append(w.counted, counts)
	for x.at.Sub(w.runs[0].at) >= limitWindow {
		w.runs, w.counted = w.runs[1:], w.counted[1:]
	}
	if x.stated.limit == 0 || x.at.Sub(w.namedAt) < limitSettles {
		return 0, 0
	}
	for i, one := range w.runs {
		limit = max(limit, one.stated.limit)
		if w.counted[i] {
			count++
		}
	}
	return count, limit
}
