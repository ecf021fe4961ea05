package node

import (
	"cmp"
	"context"
	"encoding/json"
	"hash/fnv"
	"net/http"
	"net/url"
	"slices"
	"time"

	"pollengauge.dev/atmostonce"
	"pollengauge.dev/config"
	"pollengauge.dev/membership"
	"pollengauge.dev/objects"
	"pollengauge.dev/observe"
)

const (
	// witnessWait bounds how long a call waits for its witness before it is
	// dispatched without one.
	witnessWait = 100 * time.Millisecond
	// witnessPause is the time between two rounds of messages about notes that
	// are settled or have no witness, and witnessRound bounds one message.
	witnessPause = time.Second
	witnessRound = time.Second
	// witnessShunned is how long a member that did not answer is passed over.
	witnessShunned = 10 * time.Second
	// witnessConns bounds the connections to one witness. They are not those of
	// calls, which in an overload are all taken.
	witnessConns = 16
	// maxNoted bounds the open notes of this home, maxWitnessed those kept here
	// for others, and maxNotesSent those in one message.
	maxNoted     = 4096
	maxWitnessed = 4096
	maxNotesSent = 100
)

// Values of the label result of the metric of notes.
const (
	noteTold     = "told"
	noteFailed   = "failed"
	noteNoMember = "no-member"
	noteTooMany  = "too-many"
	noteNoTime   = "no-time"
)

// witnesses is what this node needs to tell others of its calls, and to keep
// what others tell.
type witnesses struct {
	noted     *atmostonce.Noted
	kept      *atmostonce.Witnessed
	shun      *shunList
	transport *http.Transport
}

func newWitnesses(network Network) *witnesses {
	return &witnesses{
		noted:     atmostonce.NewNoted(maxNoted),
		kept:      atmostonce.NewWitnessed(maxWitnessed),
		shun:      newShunList(),
		transport: newTransport(network, witnessConns),
	}
}

// tellWitness tells another member of a call that is about to be dispatched,
// and returns the note's number, 0 without a note.
//
// The failure: a VM is lost with filings in flight and its key table with it.
// The callers never ask again, no other node had a part in the calls, and the
// filings die quietly: nobody knows that there is something to look up. A
// member that was told before the dispatch lists them. It can't run them, and
// nothing asks it whether a key may run; without its answer the call goes on.
func (n *Node) tellWitness(ctx context.Context, req *request) uint64 {
	if req.profile.Record != config.RecordPeer || n.settings.Ablate.NoWitness {
		return 0
	}
	now := n.now()
	member, cause := n.witnessFor(req, now)
	note, ok := n.witnesses.noted.Add(atmostonce.Note{
		Key:     observe.RedactKey(req.key),
		Request: req.call.RequestID,
		Profile: req.call.Profile,
		Since:   now,
		Expires: now.Add(n.settings.KeyWindow),
	}, member.ID)
	switch {
	case !ok:
		n.unwitnessed(noteTooMany, nil)
		return 0
	case cause != "":
		n.unwitnessed(cause, nil)
		return note.Number
	}
	// A caller that goes away must not make its witness look lost.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), witnessWait)
	defer cancel()
	// The next round tells another member what this one has not taken.
	_ = n.sendNotes(ctx, member, witnessMessage{Notes: []atmostonce.Note{note}})
	return note.Number
}

// witnessFor returns the member to tell of a call before its dispatch, or why
// there is none. The next round tells one afterwards.
func (n *Node) witnessFor(req *request, now time.Time) (to membership.Member, cause string) {
	if req.deadline.Sub(now) < witnessWait {
		return membership.Member{}, noteNoTime
	}
	member, ok := n.pickWitness(now)
	if !ok {
		return membership.Member{}, noteNoMember
	}
	return member, ""
}

// settleNote ends the note of a call whose fate the caller is told. A call that
// ended unknown keeps it: the fate must outlive this home.
func (n *Node) settleNote(number uint64) {
	if number != 0 {
		n.witnesses.noted.Settle(number)
	}
}

// unwitnessed reports calls without a witness.
func (n *Node) unwitnessed(cause string, err error) {
	n.metrics.WitnessNotes.With(cause).Inc(1)
	fields := []observe.Field{observe.Str("cause", cause)}
	if err != nil {
		fields = append(fields, observe.Err(err))
	}
	n.log.Emit(observe.KeyUnwitnessed, fields...)
}

// sendNotes sends notes and keeps what came of it.
func (n *Node) sendNotes(ctx context.Context, to membership.Member, m witnessMessage) error {
	err := n.sendWitness(ctx, to, m)
	n.witnesses.noted.Sent(m.Notes, to.ID, err == nil)
	if err != nil {
		n.unwitnessed(noteFailed, err)
		return err
	}
	n.metrics.WitnessNotes.With(noteTold).Inc(int64(len(m.Notes)))
	return nil
}

// sendWitness sends one message and waits for the member's word. A member that
// fails is passed over for a while, so that one that is lost, or whose build
// does not know of notes, costs few calls the wait.
func (n *Node) sendWitness(ctx context.Context, to membership.Member, m witnessMessage) error {
	m.Home = n.id
	err := n.postWitness(ctx, to.Addr, m)
	if err != nil {
		n.witnesses.shun.add(to.ID, n.now().Add(witnessShunned))
	}
	return err
}

func (n *Node) postWitness(ctx context.Context, addr string, m witnessMessage) error {
	body, err := json.Marshal(m)
	if err != nil {
		return err
	}
	resp, _, err := roundTrip(ctx, n.witnesses.transport, &http.Request{
		Method:        http.MethodPost,
		URL:           &url.URL{Scheme: "http", Host: addr, Path: witnessPath},
		Host:          witnessHost,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        http.Header{"User-Agent": {""}},
		Body:          memoryBody(body),
		ContentLength: int64(len(body)),
	})
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		return &WitnessRefusedError{Status: resp.StatusCode}
	}
	return nil
}

// pickWitness chooses the member to tell: of the same region, in another zone
// if there is one. Each home keeps to one member as long as that answers, and
// homes spread over the members.
func (n *Node) pickWitness(now time.Time) (membership.Member, bool) {
	var candidates []membership.Member
	for _, m := range n.gossip.Members() {
		if m.ID != n.id && !m.Draining && m.Region == n.settings.Region && !n.witnesses.shun.has(m.ID, now) {
			candidates = append(candidates, m)
		}
	}
	if len(candidates) == 0 {
		return membership.Member{}, false
	}
	return slices.MinFunc(candidates, func(a, b membership.Member) int {
		return cmp.Or(
			cmp.Compare(boolGauge(a.State != membership.Alive), boolGauge(b.State != membership.Alive)),
			cmp.Compare(boolGauge(a.Zone == n.settings.Zone), boolGauge(b.Zone == n.settings.Zone)),
			cmp.Compare(pairRank(n.id, a.ID), pairRank(n.id, b.ID)),
		)
	}), true
}

// pairRank orders the members differently for each home.
func pairRank(home, member string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(home + member))
	return hash.Sum64()
}

// runWitness keeps the witnesses up to date until ctx ends.
func (n *Node) runWitness(ctx context.Context) {
	for objects.Pause(ctx, witnessPause) {
		n.updateWitnesses(ctx)
	}
}

// updateWitnesses tells members which of their notes are settled, and another
// member of those whose witness is missing.
func (n *Node) updateWitnesses(ctx context.Context) {
	for _, id := range n.witnesses.noted.Stale() {
		n.updateWitness(ctx, id)
	}
	for range maxNoted / maxNotesSent {
		notes := n.witnesses.noted.Missing(n.now(), n.mayWitness, maxNotesSent)
		if len(notes) == 0 || !n.tellMissing(ctx, notes) {
			return
		}
	}
}

// tellMissing tells a member of notes that no other has, and reports whether it
// has taken them.
func (n *Node) tellMissing(ctx context.Context, notes []atmostonce.Note) bool {
	member, ok := n.pickWitness(n.now())
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, witnessRound)
	defer cancel()
	word := n.witnesses.noted.Offer(notes, member.ID)
	return n.sendNotes(ctx, member, witnessMessage{Open: &word, Notes: notes}) == nil
}

// updateWitness tells one member which of its notes are open. One that is dead
// to this node may only be out of reach, and is told when it is back.
func (n *Node) updateWitness(ctx context.Context, id string) {
	member, state, ok := n.gossip.Lookup(id)
	switch {
	case !ok || state == membership.Left:
		n.witnesses.noted.Forget(id)
		return
	case state == membership.Dead || n.witnesses.shun.has(id, n.now()):
		return
	}
	ctx, cancel := context.WithTimeout(ctx, witnessRound)
	defer cancel()
	word := n.witnesses.noted.Word(id)
	if err := n.sendWitness(ctx, member, witnessMessage{Open: &word}); err == nil {
		n.witnesses.noted.Heard(id, word.Seq)
	}
}

// mayWitness reports whether a member that has a note is still there.
func (n *Node) mayWitness(id string) bool {
	_, state, ok := n.gossip.Lookup(id)
	return ok && (state == membership.Alive || state == membership.Suspect)
}

// WitnessRefusedError tells that a member did not take a note.
type WitnessRefusedError struct{ Status int }

// Error implements error.
func (e *WitnessRefusedError) Error() string {
	return "member refused the note with status " + http.StatusText(e.Status)
}
