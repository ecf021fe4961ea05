package node

import (
	"pollengauge.dev/observe"
)

const (
	// quotaQuietReports is for how many consecutive reports a customer must have no
	// refusal before it is logged as within its limit again.
	quotaQuietReports = 5
	// maxOverLimit bounds the customers that are tracked at a time.
	maxOverLimit = 1024
)

func (q *quotaState) noteRefused(customer string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, known := q.refused[customer]; known || len(q.refused) < maxOverLimit {
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
	var reached, recovered []string
	for name := range refused {
		if _, logged := q.overLimit[name]; !logged && len(q.overLimit) < maxOverLimit {
			reached = append(reached, name)
		}
		q.overLimit[name] = 0
	}
	for name := range q.overLimit {
		if refused[name] > 0 {
			continue
		}
		if q.overLimit[name]++; q.overLimit[name] >= quotaQuietReports {
			delete(q.overLimit, name)
			recovered = append(recovered, name)
		}
	}
	q.mu.Unlock()
	for _, name := range reached {
		n.log.Emit(observe.QuotaReached, observe.Str("customer", name), observe.Int("refused", refused[name]))
	}
	for _, name := range recovered {
		n.log.Emit(observe.QuotaKept, observe.Str("customer", name))
	}
}
