package world

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// outcomes has the status of each request; 0 means that the connection ended.
type outcomes struct {
	mu       sync.Mutex
	statuses map[string]int
}

func (o *outcomes) add(r result) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.statuses == nil {
		o.statuses = make(map[string]int)
	}
	o.statuses[r.id] = r.status
}

// count returns how many requests ended with a status.
func (o *outcomes) count(status int) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, s := range o.statuses {
		if s == status {
			n++
		}
	}
	return n
}

// playExtraRefusal: unsafe requests to a service of two servers that are full now and then.
// With the disruption, one of the two sends 3 in 100 of its answers a second time for 5 s, late,
// where the next answer on the connection is due.
func playExtraRefusal(w *world) []string {
	w.configure([]string{"huvo11a", "wuno96b"}, route("r-file", "jepu9.example", "/puka111/", "unsafe", "wuno96b"))
	first, second, own := w.newServer(0, "wuno96b", "i-7f3a91c2"), w.newServer(1, "wuno96b", "i-02d9e6b4"), w.newServer(2, "huvo11a", "i-55aa0b17")
	for _, s := range []*server{first, second, own} {
		s.start()
	}
	w.awaitReady()
	first.setFaults(fullShare, 0)
	second.setFaults(fullShare, 0)
	load := w.startLoad(40, "c", http.MethodPost, "jepu9.example", 5*time.Second, 5*time.Millisecond)
	time.Sleep(2 * time.Second)
	if w.trouble {
		w.rec.note("server %s sends 3 in 100 answers twice from now on", first.instance)
		first.setFaults(fullShare, 0.03)
	}
	time.Sleep(5 * time.Second)
	first.setFaults(fullShare, 0)
	time.Sleep(2 * time.Second)
	load.end()
	if load.got.count(http.StatusOK) < 500 {
		fail("too few requests were served")
	}
	return judgeOnce(w.ledger.all(), load.got.statuses)
}

// fullShare is the share of the requests that find a server full.
const fullShare = 0.25

// load is a number of clients on one machine.
type load struct {
	w       *world
	got     outcomes
	stop    chan struct{}
	clients sync.WaitGroup
}

// startLoad starts clients at the last machine, which send requests to the path of the cases and
// wait for an answer for a time.
func (w *world) startLoad(clients int, name, method, host string, wait, gap time.Duration) *load {
	l := &load{w: w, stop: make(chan struct{})}
	body := ""
	if method == http.MethodPost {
		body = pad(300)
	}
	last := w.layout.Machines[len(w.layout.Machines)-1]
	for i := range clients {
		c := &client{w: w, name: fmt.Sprintf("%s%d-", name, i), outbound: last.Outbound, host: host, path: "/puka111/2f", method: method, body: body, wait: wait, gap: gap}
		l.clients.Go(func() { c.loop(l.stop, l.got.add) })
	}
	return l
}

// end waits for the last answers and records how the requests ended.
func (l *load) end() {
	close(l.stop)
	l.clients.Wait()
	time.Sleep(500 * time.Millisecond)
	got := &l.got
	l.w.rec.note("answers: 200: %d, 502: %d, 503: %d, 504: %d, none: %d", got.count(200), got.count(502), got.count(503), got.count(504), got.count(0))
}

// judgeOnce checks TWICE and REFUSED for requests that may run once at most.
func judgeOnce(runs []run, statuses map[string]int) []string {
	at := make(map[string][]string)
	for _, r := range runs {
		at[r.request] = append(at[r.request], r.instance)
	}
	var broken []string
	for id, instances := range at {
		if len(instances) > 1 {
			broken = append(broken, fmt.Sprintf("TWICE: %s ran at %s", id, strings.Join(instances, " and ")))
		}
		if status := statuses[id]; status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
			broken = append(broken, fmt.Sprintf("REFUSED: %s was answered %d and ran at %s", id, status, strings.Join(instances, " and ")))
		}
	}
	return broken
}

// playLateHeartbeat: a server crashes, and another incarnation takes its place and leaves as
// planned soon after; it serves on for some seconds. With the disruption, the last heartbeat of
// the crashed incarnation arrives late, after the leave.
func playLateHeartbeat(w *world) []string {
	w.configure([]string{"huvo11a", "wuno96b"}, route("r-file", "jepu9.example", "/puka111/", "unsafe", "wuno96b"))
	crashed := w.startServers(longWork)
	w.awaitReady()
	load := w.startLoad(48, "c", http.MethodPost, "jepu9.example", 5*time.Second, 10*time.Millisecond)
	time.Sleep(4 * time.Second)
	late := crashed.nextSequence()
	w.rec.note("heartbeat %d of %s is sent and held up", late, crashed.instance)
	crashed.crash()
	time.Sleep(time.Second)
	next := w.newServer(0, "wuno96b", "i-93c1d07e")
	next.work = longWork
	next.start()
	time.Sleep(1200 * time.Millisecond)
	acknowledged := next.leaveAcknowledged()
	time.Sleep(700 * time.Millisecond)
	if w.trouble {
		w.rec.note("the held up heartbeat of %s arrives", crashed.instance)
		crashed.beat(late)
	}
	time.Sleep(serveOn - 700*time.Millisecond)
	next.exit()
	time.Sleep(time.Second)
	load.end()
	return w.judgeDrain(next, acknowledged, acknowledged, &load.got)
}

// longWork is the work time of a request where a server exits under load.
const longWork = 100 * time.Millisecond

// drainTime returns the time after which a server that leaves gets nothing more.
func (w *world) drainTime() time.Duration { return sites[w.layout.Site].drain }

// startServers starts a server on each machine, of the machine's service, and returns the first.
func (w *world) startServers(work time.Duration) *server {
	var first *server
	for i, m := range w.layout.Machines {
		s := w.newServer(i, m.Service, fmt.Sprintf("i-7f3a91c%d", i))
		s.work = work
		s.start()
		if i == 0 {
			first = s
		}
	}
	return first
}

// serveOn is how long a server serves after its leave was acknowledged: the drain time and some
// seconds longer.
const serveOn = 8 * time.Second

// serveLong is serveOn for a server that serves "many seconds" longer.
const serveLong = 12 * time.Second

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// leaveAcknowledged makes the server leave, and returns when that was acknowledged.
func (s *server) leaveAcknowledged() time.Time {
	if s.leave()/100 != 2 {
		fail("the leave was not acknowledged")
	}
	return time.Now()
}

// judgeDrain checks DRAIN for a server that has left. Only runs after inTouch count. It also
// records which of these requests were lost when the server exited.
func (w *world) judgeDrain(s *server, acknowledged, inTouch time.Time, got *outcomes) []string {
	var broken []string
	lost := 0
	for _, r := range w.ledger.all() {
		after := r.at.Sub(acknowledged)
		if r.instance != s.instance || after <= w.drainTime() || r.at.Before(inTouch) {
			continue
		}
		status := got.statuses[r.request]
		if status != http.StatusOK {
			lost++
		}
		broken = append(broken, fmt.Sprintf("DRAIN: %s reached %s %.2f s after its leave was acknowledged; its client got %d", r.request, s.instance, after.Seconds(), status))
	}
	w.rec.note("%d requests reached %s later than %s after its leave was acknowledged, and %d of them were lost with it", len(broken), s.instance, w.drainTime(), lost)
	return broken
}

// playForgottenLeave: a node is restarted as planned, and the server beside it leaves meanwhile;
// the node acknowledges that and is replaced by its successor. With the disruption, a heartbeat
// that the server sent before its leave arrives late, at the successor.
func playForgottenLeave(w *world) []string {
	w.configure([]string{"huvo11a", "wuno96b"}, route("r-file", "jepu9.example", "/puka111/", "unsafe", "wuno96b"))
	leaving := w.startServers(longWork)
	w.awaitReady()
	load := w.startLoad(48, "c", http.MethodPost, "jepu9.example", 5*time.Second, 10*time.Millisecond)
	time.Sleep(4 * time.Second)
	w.signalNode(1, syscall.SIGTERM)
	ended := time.Now().Add(grace)
	time.Sleep(1500 * time.Millisecond)
	late := leaving.nextSequence()
	acknowledged := leaving.leaveAcknowledged()
	// The machine counts as stopped until the whole grace period is over.
	inTouch := later(w.awaitRestart(1), ended).Add(stableWindow)
	if w.trouble {
		time.Sleep(time.Until(acknowledged.Add(2200 * time.Millisecond)))
		w.rec.note("heartbeat %d of %s, sent before its leave, arrives", late, leaving.instance)
		leaving.beat(late)
	}
	time.Sleep(time.Until(acknowledged.Add(serveLong)))
	leaving.exit()
	time.Sleep(time.Second)
	load.end()
	return w.judgeDrain(leaving, acknowledged, inTouch, &load.got)
}
