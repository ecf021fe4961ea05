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
		epoch int64
		count uint32
	}
	// total is the sum of the slices in the window that ends with the slice latest.
	total  uint32
	latest int64
}

// sum returns the number of tokens leased in the window that ends now.
func (w *windowCount) sum(now time.Time, window time.Duration) float64 {
	w.slide(epochOf(now, window))
	return float64(w.total)
}

func (w *windowCount) add(tokens int, now time.Time, window time.Duration) {
	epoch := epochOf(now, window)
	w.slide(epoch)
	// A time before the latest slice counts in the latest slice.
	epoch = max(epoch, w.latest)
	slice := &w.slices[epoch%int64(len(w.slices))]
	slice.epoch = epoch
	slice.count += uint32(tokens)
	w.total += uint32(tokens)
}

// slide clears the slices that have left the window.
func (w *windowCount) slide(epoch int64) {
	if epoch <= w.latest {
		return
	}
	count := int64(len(w.slices))
	for next := max(w.latest+1, epoch-count+1); next <= epoch; next++ {
		slice := &w.slices[next%count]
		w.total -= slice.count
		slice.epoch, slice.count = next, 0
	}
	w.latest = epoch
}

// windowOrigin keeps slice numbers above 0 on any clock.
var windowOrigin = time.Unix(0, 0)

func epochOf(now time.Time, window time.Duration) int64 {
	return max(int64(now.Sub(windowOrigin)/(window/windowSlices)), 0)
}
