package node

import (
	"pollengauge.dev/observe"
)

const (
	// quotaQuietLooks is for how many consecutive reports a customer must have no
	// refusal before it is logged as within its limit again.
	quotaQuietLooks = 5
	// maxReached bounds the customers that are tracked at a time.
	maxReached = 1024
)

func (q *quotaState) noteRefused(customer string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, known := q.refused[customer]; known || len(q.refused) < maxReached {
		q.refused[customer]++
	}
}

// reportQuotas logs which customers have reached their limit at this node, and which are
// within it again.
func (n *Node) reportQuotas() {
	q := n.quotas
	q.mu.Lock()
	refused := q.refused
	q.refused = make(map[string]int)
	var reached, kept []string
	for name := range refused {
		if _, told := q.reached[name]; !told && len(q.reached) < maxReached {
			reached = append(reached, name)
		}
		q.reached[name] = 0
	}
	for name := range q.reached {
		if refused[name] > 0 {
			continue
		}
		if q.reached[name]++; q.reached[name] >= quotaQuietLooks {
			delete(q.reached, name)
			kept = append(kept, name)
		}
	}
	q.mu.Unlock()
	for _, name := range reached {
		n.log.Emit(observe.QuotaReached, observe.Str("customer", name), observe.Int("refused", refused[name]))
	}
	for _, name := range kept {
		n.log.Emit(observe.QuotaKept, observe.Str("customer", name))
	}
}
