package proof

import (
	"net/http"
	"strconv"
	"time"

	"pollengauge.dev/call"
)

// drainNoticeTimeout bounds the time until all nodes have learned that a node
// drains.
const drainNoticeTimeout = 2 * time.Second

// Check checks everything recorded so far and returns the violations of
// promises.
func (l *Ledger) Check() []*Violation {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := append([]*Violation(nil), l.reported...)
	add := func(v *Violation) {
		if v != nil {
			found = append(found, v)
		}
	}
	for _, p := range l.presentations {
		if p.Done.IsZero() {
			continue
		}
		add(l.checkAnswer(p))
		add(l.checkNotRun(p))
	}
	for _, runs := range l.countRuns() {
		add(runs.check())
	}
	for _, p := range l.presentations {
		add(l.checkRetries(p))
	}
	return found
}

// checkAnswer checks that an answer has exactly one outcome, and that an answer
// with the outcome complete is the complete answer to this caller's request.
func (l *Ledger) checkAnswer(p *Presentation) *Violation {
	broken := &Violation{Promise: OwnWholeAnswer, Subject: p.Operation + " " + p.ID}
	if p.Left || p.Reply.Err != nil {
		return nil
	}
	if _, err := call.ParseOutcome(p.Reply.Outcome); err != nil {
		broken.Detail = "outcome " + strconv.Quote(p.Reply.Outcome)
		return broken
	}
	o := l.operations[p.Operation]
	if !p.Reply.Complete() || o.Root.Method == http.MethodHead {
		return nil
	}
	if want := o.completeAnswer(); p.Reply.Status != http.StatusOK || p.Reply.Body != want {
		broken.Detail = "status " + strconv.Itoa(p.Reply.Status) + ", got " + brief(p.Reply.Body) + ", want " + brief(want)
		return broken
	}
	if want := o.Root.trailer(o.ID); p.Reply.Trailer != want {
		broken.Detail = "trailer " + strconv.Quote(p.Reply.Trailer) + ", want " + strconv.Quote(want)
		return broken
	}
	return nil
}

// brief quotes a body for a message. It shortens a long body and adds its length.
func brief(body string) string {
	const shown = 80
	if len(body) <= shown {
		return strconv.Quote(body)
	}
	return strconv.Quote(body[:shown]) + " (" + strconv.Itoa(len(body)) + " bytes)"
}

// checkNotRun checks a presentation that was answered not-run: no upstream ran
// any step for it, before or after the answer. If it has a key, no upstream
// ran a step under that key before it was sent.
func (l *Ledger) checkNotRun(p *Presentation) *Violation {
	if p.Left || !p.Reply.NotRun() {
		return nil
	}
	for _, a := range l.arrivals {
		if !a.Ran || a.Operation != p.Operation {
			continue
		}
		earlier := p.Key != "" && a.At.Before(p.Sent) && l.sameKey(a.Presentation, p.Key)
		if a.Presentation == p.ID || earlier {
			return &Violation{
				Promise: NotRunIsTrue,
				Subject: p.Operation + " " + p.ID,
				Detail:  "answered not-run, " + p.Reply.Reason + "; step " + a.Step + " ran at " + a.Host + " for " + a.Presentation,
			}
		}
	}
	return nil
}

func (l *Ledger) sameKey(presentation, key string) bool {
	for _, p := range l.presentations {
		if p.ID == presentation {
			return p.Key == key
		}
	}
	return false
}

// identity identifies an execution that may happen at most once: a step of an
// operation under an idempotency key, or under one presentation if it has no key.
type identity struct{ operation, scope, step string }

type runCount struct {
	identity
	runs  int
	hosts string
}

func (r *runCount) check() *Violation {
	if r.runs <= 1 {
		return nil
	}
	return &Violation{
		Promise: AtMostOnce,
		Subject: r.operation + " step " + r.step,
		Detail:  "ran " + strconv.Itoa(r.runs) + " times, at" + r.hosts + ", under " + r.scope,
	}
}

// countRuns counts the executions of calls that must not be repeated. Calls with
// an unrepeatable profile are counted per key, and all other calls that are
// not idempotent per presentation.
func (l *Ledger) countRuns() map[identity]*runCount {
	counts := make(map[identity]*runCount)
	keys := make(map[string]string)
	for _, p := range l.presentations {
		keys[p.ID] = p.Key
	}
	for _, a := range l.arrivals {
		o := l.operations[a.Operation]
		if !a.Ran || !o.runsAtMostOnce(a.Step) {
			continue
		}
		id := identity{operation: a.Operation, scope: a.Presentation, step: a.Step}
		if key := keys[a.Presentation]; o.Unrepeatable && key != "" {
			id.scope = key
		}
		if counts[id] == nil {
			counts[id] = &runCount{identity: id}
		}
		counts[id].runs++
		counts[id].hosts += " " + a.Host
	}
	return counts
}

// checkRetries counts the calls that upstreams received beyond first attempts.
// Each arrival of a call accounts for one first attempt of each of its
// downstream calls. All further arrivals are retries, and the credit bounds
// the total of a request's retries.
func (l *Ledger) checkRetries(p *Presentation) *Violation {
	arrived := make(map[string]int)
	for _, a := range l.arrivals {
		if a.Presentation == p.ID {
			arrived[a.Step]++
		}
	}
	extra := 0
	o := l.operations[p.Operation]
	for step, count := range arrived {
		if _, planned := o.at(step); !planned {
			continue
		}
		first := 1
		if parent := parentStep(step); parent != "" {
			first = arrived[parent]
		}
		extra += max(count-first, 0)
	}
	if extra <= o.Credit {
		return nil
	}
	return &Violation{
		Promise: RetriesBounded,
		Subject: p.Operation + " " + p.ID,
		Detail:  strconv.Itoa(extra) + " attempts beyond the first, credit " + strconv.Itoa(o.Credit),
	}
}

// checkDrain records a violation if the upstream of a host receives a call after
// all nodes should have learned of its drain. The caller must not hold the
// ledger's lock.
func (l *Ledger) checkDrain(host string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	since, draining := l.draining[host]
	if elapsed := time.Since(since); draining && elapsed > drainNoticeTimeout {
		l.reported = append(l.reported, &Violation{
			Promise: LeavingGetsNoWork,
			Subject: host,
			Detail:  "new work " + elapsed.String() + " after it began to drain",
		})
	}
}
