package quota

import "time"

const (
	// windowSlices is the number of slices into which a window is divided; the window
	// slides by one slice at a time. minWindow is the shortest window.
	windowSlices = 50
	minWindow    = windowSlices * time.Microsecond
)

// windowCount counts the tokens leased in the sliding window that ends now. The window
// slides in steps of one slice, so it is up to one slice longer than requested.
type windowCount struct {
	slices [windowSlices + 1]struct {
		index int64
		count uint32
	}
	// total is the sum of the slices in the window that ends with the slice latest.
	total  uint32
	latest int64
}

// sum returns the number of tokens leased in the window that ends now.
func (w *windowCount) sum(now time.Time, window time.Duration) float64 {
	w.slide(sliceIndex(now, window))
	return float64(w.total)
}

func (w *windowCount) add(tokens int, now time.Time, window time.Duration) {
	index := sliceIndex(now, window)
	w.slide(index)
	// A time before the latest slice counts in the latest slice.
	index = max(index, w.latest)
	slice := &w.slices[index%int64(len(w.slices))]
	slice.index = index
	slice.count += uint32(tokens)
	w.total += uint32(tokens)
}

// untilAtMost returns the time until the window has at most this many tokens, if none is
// added.
func (w *windowCount) untilAtMost(tokens float64, now time.Time, window time.Duration) time.Duration {
	index := sliceIndex(now, window)
	w.slide(index)
	count := int64(len(w.slices))
	left := float64(w.total)
	for oldest := w.latest - count + 1; oldest <= w.latest; oldest++ {
		if left <= max(tokens, 0)+roundingTolerance {
			return max(sliceStart(oldest-1+count, window).Sub(now), 0)
		}
		if slice := &w.slices[max(oldest, 0)%count]; slice.index == oldest {
			left -= float64(slice.count)
		}
	}
	return max(sliceStart(w.latest+count, window).Sub(now), 0)
}

// slide clears the slices that have left the window.
func (w *windowCount) slide(index int64) {
	if index <= w.latest {
		return
	}
	count := int64(len(w.slices))
	for next := max(w.latest+1, index-count+1); next <= index; next++ {
		slice := &w.slices[next%count]
		w.total -= slice.count
		slice.index, slice.count = next, 0
	}
	w.latest = index
}

// windowOrigin keeps slice numbers above 0 on any clock.
var windowOrigin = time.Unix(0, 0)

func sliceIndex(now time.Time, window time.Duration) int64 {
	return max(int64(now.Sub(windowOrigin)/(window/windowSlices)), 0)
}

// sliceStart returns when a slice begins.
func sliceStart(index int64, window time.Duration) time.Time {
	return windowOrigin.Add(time.Duration(index) * (window / windowSlices))
}
