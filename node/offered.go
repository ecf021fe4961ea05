package node

import (
	"sync/atomic"
	"time"

	"pollengauge.dev/call"
)

// offeredWindow is the length of the windows in which root requests are counted for
// the retry hints in rejections. The last complete window and the current one count.
const offeredWindow = time.Second

// offered counts root requests and rejections by priority. The counts are approximate
// at the change of a window, which is precise enough for a hint.
type offered struct {
	began    atomic.Int64
	current  offeredCounts
	previous offeredCounts
}

type offeredCounts [call.MaxPriority + 1]struct{ total, refused atomic.Int64 }

type offeredReading struct{ total, refused int64 }

// note counts one request.
func (o *offered) note(p call.Priority, refused bool, now time.Time) {
	o.roll(now)
	o.current[p].total.Add(1)
	if refused {
		o.current[p].refused.Add(1)
	}
}

// recent returns the counts of the last one to two windows over the requests of
// priority p and above, which are the requests that a request of priority p competes
// with.
//
// Lower priorities are left out, because readers that retry aggressively may be
// refused twenty times as often as they are served. With the rate over all requests,
// a filing refused beside them was told to retry after twenty seconds and was not
// there when capacity was free for it.
func (o *offered) recent(p call.Priority, now time.Time) offeredReading {
	o.roll(now)
	var r offeredReading
	for i := int(p); i < len(o.current); i++ {
		r.total += o.current[i].total.Load() + o.previous[i].total.Load()
		r.refused += o.current[i].refused.Load() + o.previous[i].refused.Load()
	}
	return r
}

func (o *offered) roll(now time.Time) {
	began := o.began.Load()
	age := now.UnixNano() - began
	if age < int64(offeredWindow) || !o.began.CompareAndSwap(began, now.UnixNano()) {
		return
	}
	for i := range o.current {
		total, refused := o.current[i].total.Swap(0), o.current[i].refused.Swap(0)
		if age >= 2*int64(offeredWindow) {
			total, refused = 0, 0
		}
		o.previous[i].total.Store(total)
		o.previous[i].refused.Store(refused)
	}
}
