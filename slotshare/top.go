package slotshare

import (
	"cmp"
	"slices"
	"time"
)

// Top splits the growth of slot times between the customers with the highest slot times and all
// others, for a metric with a bounded number of series. No figure that it returns decreases as long
// as its customer stays in the list, and neither does that of the others.
type Top struct {
	size  int
	named map[string]*series
	// rest is the slot time that was not counted for a named customer, and sum that of all at
	// the last update.
	rest, sum time.Duration
}

type series struct {
	counted, last time.Duration
}

// NewTop returns a Top with the given number of customers.
func NewTop(size int) *Top { return &Top{size: size, named: make(map[string]*series)} }

// Figure is the slot time that was counted for a customer.
type Figure struct {
	Customer string
	SlotTime time.Duration
}

// Update takes the usages of a Table and returns the figures of the customers with the highest slot
// times, the customers that no longer belong to them, and the slot time of all others. A customer
// that enters a full list is counted from then on; before, it was counted with the others.
func (t *Top) Update(known []Usage, evicted time.Duration) (figures []Figure, left []string, rest time.Duration) {
	totals := make(map[string]time.Duration)
	sum := evicted
	for _, u := range known {
		totals[u.Customer] += u.SlotTime
		sum += u.SlotTime
	}
	grown := max(sum-t.sum, 0)
	t.sum = sum
	// If the list had room, a customer that was not in it had no slot time.
	hadRoom := len(t.named) < t.size
	for name, s := range t.named {
		// An evicted customer starts again at 0.
		growth := max(totals[name]-s.last, 0)
		s.counted += growth
		s.last = totals[name]
		grown -= growth
	}

	order := make([]string, 0, len(totals))
	for name, total := range totals {
		if total > 0 {
			order = append(order, name)
		}
	}
	slices.SortFunc(order, func(a, b string) int { return cmp.Or(cmp.Compare(totals[b], totals[a]), cmp.Compare(a, b)) })
	order = order[:min(len(order), t.size)]
	for name, s := range t.named {
		if !slices.Contains(order, name) {
			t.rest += s.counted
			delete(t.named, name)
			left = append(left, name)
		}
	}
	for _, name := range order {
		if t.named[name] == nil {
			t.named[name] = &series{last: totals[name]}
			if hadRoom {
				t.named[name].counted = totals[name]
				grown -= totals[name]
			}
		}
		figures = append(figures, Figure{Customer: name, SlotTime: t.named[name].counted})
	}
	t.rest += max(grown, 0)
	return figures, left, t.rest
}
