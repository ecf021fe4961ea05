package node

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/config"
)

const (
	// limitSettles is how long after the first naming of a limit it must hold, and
	// toldBefore how long a node must have passed on the limit for its requests to count.
	limitSettles = 3 * time.Second
	toldBefore   = 500 * time.Millisecond
)

// limitedUpstream names a limit in its answers and judges what it gets: within any
// slidingCountTime no more than limitTolerance times what the limit allows, and limitSlack
// more, counting the requests of all nodes that passed on the limit toldBefore ago.
type limitedUpstream struct {
	mu       sync.Mutex
	limit    float64
	namedAt  time.Time
	arrivals []limitedArrival
	told     map[string]time.Time
	// every is the share of the answers that name the limit: one in every.
	every, answers int
	work           time.Duration
}

type limitedArrival struct {
	at      time.Time
	origin  string
	counted bool
}

func newLimitedUpstream() *limitedUpstream {
	return &limitedUpstream{told: make(map[string]time.Time), every: 1, work: 20 * time.Millisecond}
}

// name sets the limit that the answers name from now on, none if it is negative.
func (u *limitedUpstream) name(limit float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.namedAt.IsZero() {
		u.namedAt = time.Now()
	}
	u.limit = limit
}

// serve is the handler of the upstream. The id of a request begins with the name of the
// node where it began.
func (u *limitedUpstream) serve(w http.ResponseWriter, r *http.Request, call func(string, string, string) (*http.Response, error)) {
	origin, _, _ := strings.Cut(r.Header.Get("X-Id"), "-")
	u.mu.Lock()
	told, heard := u.told[origin]
	now := time.Now()
	u.arrivals = append(u.arrivals, limitedArrival{at: now, origin: origin, counted: heard && now.Sub(told) >= toldBefore})
	u.answers++
	if !u.namedAt.IsZero() && u.limit >= 0 && u.answers%u.every == 0 {
		w.Header().Set("X-Limit", strconv.FormatFloat(u.limit, 'f', -1, 64))
	}
	u.mu.Unlock()
	time.Sleep(u.work)
	echo(w, r, call)
}

// passedOn records that a node has passed on an answer.
func (u *limitedUpstream) passedOn(origin string, r reply) {
	if r.header.Get("X-Limit") == "" {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if _, known := u.told[origin]; !known {
		u.told[origin] = time.Now()
	}
}

// mostInWindow returns the highest number of counted arrivals within slidingCountTime,
// among the windows that end once the limit must hold.
func (u *limitedUpstream) mostInWindow() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	most, first, counted := 0, 0, 0
	for i, a := range u.arrivals {
		if a.counted {
			counted++
		}
		for ; a.at.Sub(u.arrivals[first].at) >= slidingCountTime; first++ {
			if u.arrivals[first].counted {
				counted--
			}
		}
		if u.arrivals[i].at.Sub(u.namedAt) >= limitSettles {
			most = max(most, counted)
		}
	}
	return most
}

// between returns how many requests arrived from one time to another.
func (u *limitedUpstream) between(from, to time.Time) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := 0
	for _, a := range u.arrivals {
		if !a.at.Before(from) && a.at.Before(to) {
			n++
		}
	}
	return n
}

// allowed returns the highest number of requests within slidingCountTime at a limit.
func allowed(limit float64) int {
	return int(limitTolerance*limit*slidingCountTime.Seconds() + limitSlack)
}

// passedOnJudge learns which responses a node has passed on.
type passedOnJudge interface {
	passedOn(origin string, r reply)
}

// limitedFleet has nodes whose callers send requests to the upstreams of one service.
type limitedFleet struct {
	*fleet
	callers map[string]*Node
	limited []*limitedUpstream
	judges  []passedOnJudge
	sending sync.WaitGroup
	mu      sync.Mutex
	served  map[string]int
	refused map[string]int
}

// newLimitedFleet starts one node for each upstream and, for each name in callers, one
// whose callers send requests.
func newLimitedFleet(f *fleet, upstreams int, callers ...string) *limitedFleet {
	l := &limitedFleet{fleet: f, callers: make(map[string]*Node), served: make(map[string]int), refused: make(map[string]int)}
	for i := range upstreams {
		judge := newLimitedUpstream()
		l.limited = append(l.limited, judge)
		l.judges = append(l.judges, judge)
		n := f.addRouted(fmt.Sprintf("desk%d", i), "desk", 40, judge.serve, fixedPorts)
		a := n.upstream.Load().Announcement
		a.Instance, a.Sequence = fmt.Sprintf("i-%d", i), 1
		f.c.Assert(n.Announce(a), qt.IsNil)
	}
	for _, name := range callers {
		l.callers[name] = f.addRouted(name, "front-"+name, 40, echo)
	}
	f.settle()
	return l
}

// fixedPorts lets a restarted node have the addresses of the one before.
func fixedPorts(s *Settings) { s.Gossip, s.Peer, s.Outbound = "x:7001", "x:7002", "x:7003" }

// restartBesideUpstream kills the node beside an upstream that keeps running, and starts it
// again at the same addresses.
func (l *limitedFleet) restartBesideUpstream(i int) {
	name := fmt.Sprintf("desk%d", i)
	old := l.nodes[name]
	a := old.upstream.Load().Announcement
	old.Close()
	settings := old.settings
	settings.Peers = l.peers
	n, err := New(settings)
	l.c.Assert(err, qt.IsNil)
	l.c.Assert(n.Start(l.t.Context()), qt.IsNil)
	l.nodes[name] = n
	set, err := config.Parse([]byte(routedSet), config.YAML)
	l.c.Assert(err, qt.IsNil)
	l.c.Assert(n.OfferConfig(set), qt.IsNil)
	l.c.Assert(n.Announce(a), qt.IsNil)
}

// send lets the callers of each node send requests of one path at a steady rate.
func (l *limitedFleet) send(path string, perSecond int, during time.Duration) {
	for name := range l.callers {
		l.sending.Go(func() { l.sendFrom(name, path, perSecond, during) })
	}
}

func (l *limitedFleet) sendFrom(name, path string, perSecond int, during time.Duration) {
	pause := time.Second / time.Duration(perSecond)
	for i := range int(during / pause) {
		l.sending.Go(func() { l.sendOne(name, path, i) })
		time.Sleep(pause)
	}
}

func (l *limitedFleet) sendOne(name, path string, i int) {
	l.mu.Lock()
	to := l.callers[name]
	l.mu.Unlock()
	if to == nil {
		return
	}
	r := l.askRouted(to, path, fmt.Sprintf("%s-%s%d-%d", name, strings.Trim(path, "/"), i, time.Now().UnixNano()), "X-Timeout", "2000")
	for _, judge := range l.judges {
		judge.passedOn(name, r)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.status == http.StatusOK {
		l.served[path]++
	} else {
		l.refused[path]++
	}
}
