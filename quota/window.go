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
