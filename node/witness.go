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
	// witnessWait bounds how long a call waits for its witness to confirm the note.
	// After that the call is dispatched without a witness.
	witnessWait = 100 * time.Millisecond
	// witnessInterval is the time between two rounds of updates about notes that are
	// settled or have no witness. witnessTimeout bounds one message of such a round.
	witnessInterval = time.Second
	witnessTimeout  = time.Second
	// witnessAvoidTime is how long a member that did not confirm a message is not
	// chosen as a witness.
	witnessAvoidTime = 10 * time.Second
	// witnessConns bounds the connections to one witness. They are separate from the
	// connections for calls, all of which are in use during an overload.
	witnessConns = 16
	// maxOwnNotes bounds the open notes about this node's own calls, maxHeldNotes the
	// notes stored here for other nodes, and maxNotesSent the notes in one message.
	maxOwnNotes  = 4096
	maxHeldNotes = 4096
	maxNotesSent = 100
)

// Values of the label "result" of the metric that counts witness notes.
const (
	noteConfirmed = "told"
	noteFailed    = "failed"
	noteNoMember  = "no-member"
	noteTooMany   = "too-many"
	noteNoTime    = "no-time"
)

// witnesses holds the notes of both roles of a node. A note describes one call in
// flight. ownNotes are those about the node's own calls, which other members witness;
// heldNotes are those that the node stores as a witness for other members. avoided
// holds the members that are not chosen as a witness for now.
type witnesses struct {
	ownNotes  *atmostonce.NoteTracker
	heldNotes *atmostonce.WitnessStore
	avoided   *avoidList
	transport *http.Transport
}

func newWitnesses(network Network) *witnesses {
	return &witnesses{
		ownNotes:  atmostonce.NewNoteTracker(maxOwnNotes),
		heldNotes: atmostonce.NewWitnessStore(maxHeldNotes),
		avoided:   newAvoidList(),
		transport: newTransport(network, witnessConns),
	}
}

// notifyWitness sends a note about a call that is about to be dispatched to another
// member, the witness. It returns the note's number, or 0 if there is no note.
//
// Without a witness, a lost VM takes its key table with it while filings are in flight.
// If their callers never retry, and no other node took part in the calls, nobody knows
// that there is something to look up. A witness that learned of a call before the
// dispatch lists it for operators. The witness can't run the call, no node asks it
// whether a key may run, and the call goes on if the witness does not respond.
func (n *Node) notifyWitness(ctx context.Context, req *request) uint64 {
	if req.profile.Record != config.RecordPeer || n.settings.Ablate.NoWitness {
		return 0
	}
	now := n.now()
	member, cause := n.witnessFor(req, now)
	note, ok := n.witnesses.ownNotes.Add(atmostonce.Note{
		Key:     observe.RedactKey(req.key),
		Request: req.call.RequestID,
		Profile: req.call.Profile,
		Since:   now,
		Expires: now.Add(n.settings.KeyWindow),
	}, member.ID)
	switch {
	case !ok:
		n.reportUnwitnessed(noteTooMany, nil)
		return 0
	case cause != "":
		n.reportUnwitnessed(cause, nil)
		return note.Number
	}
	// The caller's cancellation must not count as a failure of the witness.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), witnessWait)
	defer cancel()
	// If this member does not confirm the note, the next round of updates sends it to
	// another one.
	_ = n.sendNotes(ctx, member, witnessMessage{Notes: []atmostonce.Note{note}})
	return note.Number
}

// witnessFor returns the member that receives the note of a call before its dispatch.
// If there is none it returns the cause; the next round of updates then sends the note
// after the dispatch.
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

// settleNote closes the note of a call whose caller learns the outcome. The note of a
// call with an unknown outcome stays open, because its fate must remain known if this
// node is lost.
func (n *Node) settleNote(number uint64) {
	if number != 0 {
		n.witnesses.ownNotes.Settle(number)
	}
}

// reportUnwitnessed logs and counts a call or a message without a witness.
func (n *Node) reportUnwitnessed(cause string, err error) {
	n.metrics.WitnessNotes.With(cause).Inc(1)
	fields := []observe.Field{observe.Str("cause", cause)}
	if err != nil {
		fields = append(fields, observe.Err(err))
	}
	n.log.Emit(observe.KeyUnwitnessed, fields...)
}

// sendNotes sends notes and records whether the member confirmed them.
func (n *Node) sendNotes(ctx context.Context, to membership.Member, m witnessMessage) error {
	err := n.sendWitness(ctx, to, m)
	n.witnesses.ownNotes.RecordSent(m.Notes, to.ID, err == nil)
	if err != nil {
		n.reportUnwitnessed(noteFailed, err)
		return err
	}
	n.metrics.WitnessNotes.With(noteConfirmed).Inc(int64(len(m.Notes)))
	return nil
}

// sendWitness sends one message and waits until the member confirms it. A member that
// fails is not chosen as a witness for witnessAvoidTime. Otherwise each call would wait
// in vain for a member that is lost or runs a build without notes.
func (n *Node) sendWitness(ctx context.Context, to membership.Member, m witnessMessage) error {
	m.Home = n.id
	err := n.postWitness(ctx, to.Addr, m)
	if err != nil {
		n.witnesses.avoided.add(to.ID, n.now().Add(witnessAvoidTime))
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

// pickWitness chooses the witness: a member of the same region, preferably in another
// zone. Each node stays with one member as long as that member responds, and the
// choices of the nodes are spread over the members.
func (n *Node) pickWitness(now time.Time) (membership.Member, bool) {
	var candidates []membership.Member
	for _, m := range n.gossip.Members() {
		if m.ID != n.id && !m.Draining && m.Region == n.settings.Region && !n.witnesses.avoided.has(m.ID, now) {
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

// pairRank returns a rank of member that depends on node, so that each node orders the
// members differently.
func pairRank(node, member string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(node + member))
	return hash.Sum64()
}

// runWitness updates the witnesses at regular intervals until ctx ends.
func (n *Node) runWitness(ctx context.Context) {
	for objects.Pause(ctx, witnessInterval) {
		n.updateWitnesses(ctx)
	}
}

// updateWitnesses reports settled notes to the members that have them, and sends notes
// whose witness is gone to another member.
func (n *Node) updateWitnesses(ctx context.Context) {
	for _, id := range n.witnesses.ownNotes.Stale() {
		n.updateWitness(ctx, id)
	}
	for range maxOwnNotes / maxNotesSent {
		notes := n.witnesses.ownNotes.Unconfirmed(n.now(), n.isPresent, maxNotesSent)
		if len(notes) == 0 || !n.sendMissing(ctx, notes) {
			return
		}
	}
}

// sendMissing sends notes without a living witness to a member and reports whether the
// member confirmed them.
func (n *Node) sendMissing(ctx context.Context, notes []atmostonce.Note) bool {
	member, ok := n.pickWitness(n.now())
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	open := n.witnesses.ownNotes.AddRecipient(notes, member.ID)
	return n.sendNotes(ctx, member, witnessMessage{Open: &open, Notes: notes}) == nil
}

// updateWitness sends one member the list of its notes that are still open. A member
// that this node considers dead may only be unreachable; it gets the list when it is
// back.
func (n *Node) updateWitness(ctx context.Context, id string) {
	member, state, ok := n.gossip.Lookup(id)
	switch {
	case !ok || state == membership.Left:
		n.witnesses.ownNotes.Forget(id)
		return
	case state == membership.Dead || n.witnesses.avoided.has(id, n.now()):
		return
	}
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	open := n.witnesses.ownNotes.OpenNotesFor(id)
	if err := n.sendWitness(ctx, member, witnessMessage{Open: &open}); err == nil {
		n.witnesses.ownNotes.Confirm(id, open.Seq)
	}
}

// isPresent reports whether a member is alive or only suspected.
func (n *Node) isPresent(id string) bool {
	_, state, ok := n.gossip.Lookup(id)
	return ok && (state == membership.Alive || state == membership.Suspect)
}

// WitnessRefusedError reports that a member did not accept a message with notes.
type WitnessRefusedError struct{ Status int }

// Error implements error.
func (e *WitnessRefusedError) Error() string {
	return "member refused the note with status " + http.StatusText(e.Status)
}
