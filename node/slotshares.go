package node

import (
	"cmp"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"pollengauge.dev/admission"
	"pollengauge.dev/call"
	"pollengauge.dev/observe"
	"pollengauge.dev/slotshare"
)

const (
	// maxSlotTimeLabels is the number of customers that have a series of their own.
	maxSlotTimeLabels = 20
	// costDigits rounds a logged cost to three decimals.
	costDigits = 1000
	// slotTimeRest is the label of all other customers.
	slotTimeRest = "other"
)

// slotShares is what a node needs to rank customers by the slot time that they take.
type slotShares struct {
	table *slotshare.Table

	mu  sync.Mutex
	top *slotshare.Top
	// refused counts the requests that were refused under pressure since the last report.
	refused map[slotShareKey]int
}

type slotShareKey struct{ service, customer string }

func newSlotShares() *slotShares {
	return &slotShares{table: slotshare.NewTable(), top: slotshare.NewTop(maxSlotTimeLabels), refused: make(map[slotShareKey]int)}
}

// placeFairly ranks a request among those of the same priority by its customer's use of
// the limit, if the use is known, and by the slot time that the customer's requests take.
func (n *Node) placeFairly(req *request) {
	if req.quotaUse == 0 || !n.usesDialect() || n.settings.Ablate.NoFairness {
		return
	}
	share := req.quotaUse
	if of := req.identity.customer; of != nil && !n.settings.Ablate.NoSlotShare {
		share = slotshare.Share(req.quotaUse, n.slots.table.Cost(of.Name, req.service), of.ShareWeight())
	}
	req.call.Level = call.MakeLevel(req.call.Level.Priority(), admission.ShareTiebreak(share, rand.Float64()))
}

// noteSlotTime records the slot time that the response to a customer's root request reported.
// A response reports one only under pressure.
func (n *Node) noteSlotTime(req *request, a *answer) {
	switch {
	case a.report.Outcome == call.NotRun && a.report.Pressure > 0:
		n.noteRefusedByShare(req)
	case a.report.Outcome != call.Complete || a.status >= http.StatusBadRequest || a.report.Work <= 0:
	case req.identity.customer != nil:
		n.slots.table.Observe(req.identity.customer.Name, req.service, req.call.Profile, time.Duration(a.report.Work)*time.Millisecond)
	}
}

// noteRefusedByShare records that a customer's root request was refused because of the pressure of
// a service that it leads to.
func (n *Node) noteRefusedByShare(req *request) {
	of := req.identity.customer
	if of == nil {
		return
	}
	s := n.slots
	s.table.Refuse(of.Name, req.service)
	key := slotShareKey{service: req.service, customer: of.Name}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.refused[key]; known || len(s.refused) < maxOverLimit {
		s.refused[key]++
	}
}

// reportSlotShares logs, for each service, which customer was refused most since the last report.
func (n *Node) reportSlotShares() {
	s := n.slots
	s.mu.Lock()
	refused := s.refused
	s.refused = make(map[slotShareKey]int)
	s.mu.Unlock()
	total := make(map[string]int)
	most := make(map[string]string)
	for key, count := range refused {
		total[key.service] += count
		known, found := most[key.service]
		if order := cmp.Compare(count, refused[slotShareKey{key.service, known}]); !found || order > 0 || (order == 0 && key.customer < known) {
			most[key.service] = key.customer
		}
	}
	customers := n.config.Current().Customers()
	for service, name := range most {
		weight := float64(slotshare.DefaultWeight)
		if of := customers.ByName(name); of != nil {
			weight = of.ShareWeight()
		}
		n.log.Emit(observe.RefusedByShare, observe.Str("service", service), observe.Str("customer", name),
			observe.Int("refused", refused[slotShareKey{service, name}]), observe.Int("of", total[service]),
			observe.Float("cost", math.Round(s.table.Cost(name, service)*costDigits)/costDigits), observe.Float("weight", weight))
	}
}

// updateSlotTimes exports the slot times of the customers that took most.
func (n *Node) updateSlotTimes() {
	s := n.slots
	s.mu.Lock()
	defer s.mu.Unlock()
	figures, left, rest := s.top.Update(s.table.Usages())
	for _, name := range left {
		n.metrics.SlotTime.Remove(name)
	}
	for _, f := range figures {
		if f.Customer == slotTimeRest {
			rest += f.SlotTime
			continue
		}
		n.metrics.SlotTime.With(f.Customer).Update(f.SlotTime.Seconds())
	}
	n.metrics.SlotTime.With(slotTimeRest).Update(rest.Seconds())
	setCounter(n.metrics.SlotTimeIgnored, s.table.Ignored())
}

// SlotTimeView is what a customer took of a service since this node started.
type SlotTimeView struct {
	Service string `json:"service"`
	// Seconds is the slot time of completed requests, as responses report it under pressure.
	// Refused counts the requests refused under pressure.
	Seconds float64 `json:"seconds"`
	Refused uint64  `json:"refused"`
	// Cost is the mean slot time of a request relative to that of all customers, 1 if unknown.
	Cost float64 `json:"cost"`
}

// slotTimeViews returns the slot times of this node by customer, each list ordered by service.
func (n *Node) slotTimeViews() map[string][]SlotTimeView {
	known, _ := n.slots.table.Usages()
	views := make(map[string][]SlotTimeView)
	for _, u := range known {
		views[u.Customer] = append(views[u.Customer], SlotTimeView{Service: u.Service, Seconds: u.SlotTime.Seconds(), Refused: u.Refused, Cost: u.Cost})
	}
	for _, list := range views {
		slices.SortFunc(list, func(a, b SlotTimeView) int { return strings.Compare(a.Service, b.Service) })
	}
	return views
}
