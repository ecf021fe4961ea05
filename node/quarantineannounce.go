package node

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"pollengauge.dev/atmostonce"
	"pollengauge.dev/membership"
	"pollengauge.dev/observe"
	"pollengauge.dev/quarantine"
)

// announceQuarantined announces this node's quarantine records to all members.
func (n *Node) announceQuarantined() {
	records := n.quarantine.bulletin.Records()
	announced := make([]membership.HeldRequest, 0, len(records))
	for _, r := range records {
		announced = append(announced, membership.HeldRequest{Fingerprint: uint64(r.Fingerprint), Ends: uint8(r.Ends), Stamp: r.Stamp})
	}
	if err := n.gossip.Update(func(m *membership.Member) { m.Held = announced }); err != nil {
		n.log.Emit(observe.NodeFailed, observe.Err(err))
	}
}

// mergeAnnounced merges the records that the members announce. It runs on every change of
// the membership.
func (n *Node) mergeAnnounced(members []membership.Member) {
	changed := false
	announced := make(map[quarantine.Fingerprint]bool)
	for i := range members {
		for _, held := range members[i].Held {
			record := recordOf(held)
			announced[record.Fingerprint] = true
			if members[i].ID != n.id {
				changed = n.mergeRecord(record) || changed
			}
		}
	}
	if n.adoptUnannounced(members, announced) || changed {
		n.announceQuarantined()
	}
}

// adoptUnannounced makes this node announce quarantined requests that no member
// announces any more, if it is the member chosen for them.
//
// It prevents this failure: the node that found a request is restarted. The others still
// quarantine the request, but nodes that start later never learn of it.
func (n *Node) adoptUnannounced(members []membership.Member, announced map[quarantine.Fingerprint]bool) (adopted bool) {
	var ids []string
	for _, record := range n.quarantine.ledger.RecordsToAnnounce(n.now()) {
		if announced[record.Fingerprint] {
			continue
		}
		if ids == nil {
			for i := range members {
				ids = append(ids, members[i].ID)
			}
		}
		if quarantine.TrialMember(ids, record.Fingerprint) == n.id {
			n.quarantine.bulletin.Post(record, n.now())
			adopted = true
		}
	}
	return adopted
}

func recordOf(held membership.HeldRequest) quarantine.Record {
	return quarantine.Record{Fingerprint: quarantine.Fingerprint(held.Fingerprint), Ends: int(held.Ends), Stamp: held.Stamp}
}

// mergeRecord merges one record, and reports whether this changes what this node
// announces.
func (n *Node) mergeRecord(incoming quarantine.Record) (changed bool) {
	isNew, answer, contradicts := n.quarantine.ledger.Merge(incoming, n.now())
	if !isNew {
		return false
	}
	changed = n.quarantine.bulletin.Withdraw(incoming.Fingerprint)
	switch {
	case contradicts:
		n.noteCleared(answer, "completed")
		n.quarantine.bulletin.Post(answer, n.now())
		return true
	case incoming.Ends > 0:
		n.noteQuarantined(incoming, "")
	default:
		n.noteCleared(incoming, "member")
	}
	return changed
}

// suspectsPath is the path at which a peer listener receives suspects, as JSON.
const suspectsPath = "/.pollengauge/suspects"

// suspectsHost is the Host of a suspects message; it can't be the name of a service.
const suspectsHost = "suspects.pollengauge"

const (
	// maxSuspects bounds the requests in one message, and maxSuspectsBytes the size of
	// the message.
	maxSuspects      = 2048
	maxSuspectsBytes = 64 << 10
	// suspectsTimeout is the time limit for sending one message.
	suspectsTimeout = time.Second
	// maxConcurrentSuspects bounds the messages of one announcement that are sent
	// concurrently.
	maxConcurrentSuspects = 8
)

// suspectsMessage notifies the members of a service of the requests that one of its
// upstreams was running when it crashed. The rest of the fleet doesn't need to know: a
// single crash quarantines nothing.
type suspectsMessage struct {
	From string `json:"from"`
	// Suspects holds 8 bytes for each fingerprint.
	Suspects []byte `json:"suspects"`
}

// fingerprintSize is the length of a fingerprint in a message, in bytes.
const fingerprintSize = 8

func packSuspects(suspects []quarantine.Fingerprint) []byte {
	packed := make([]byte, 0, len(suspects)*fingerprintSize)
	for _, f := range suspects {
		packed = binary.BigEndian.AppendUint64(packed, uint64(f))
	}
	return packed
}

// unpackSuspects is the inverse of packSuspects. It returns nil for input that
// packSuspects can't have produced.
func unpackSuspects(packed []byte) []quarantine.Fingerprint {
	if len(packed)%fingerprintSize != 0 || len(packed) > maxSuspects*fingerprintSize {
		return nil
	}
	var suspects []quarantine.Fingerprint
	for ; len(packed) > 0; packed = packed[fingerprintSize:] {
		suspects = append(suspects, quarantine.Fingerprint(binary.BigEndian.Uint64(packed)))
	}
	return suspects
}

// notifySuspects notifies the other members of this service of suspects.
//
// It prevents this failure: a request that can't be repeated arrives at another node each
// time and crashes an upstream each time. If each node counted only the crashes of its
// own upstream, the request would crash all upstreams before any node counts a second
// crash.
func (n *Node) notifySuspects(suspects []quarantine.Fingerprint) {
	body, err := json.Marshal(suspectsMessage{From: n.id, Suspects: packSuspects(suspects[:min(len(suspects), maxSuspects)])})
	if err != nil {
		n.log.Emit(observe.NodeFailed, observe.Err(err))
		return
	}
	slots := make(chan struct{}, maxConcurrentSuspects)
	for _, m := range n.gossip.Members() {
		if m.Service != n.settings.Service || m.ID == n.id {
			continue
		}
		go func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			if err := n.postSuspects(m.Addr, body); err != nil {
				n.log.Emit(observe.SuspectsUntold, observe.Str("member", m.ID[:min(idPrefix, len(m.ID))]), observe.Err(err))
			}
		}()
	}
}

func (n *Node) postSuspects(addr string, body []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), suspectsTimeout)
	defer cancel()
	resp, _, err := roundTrip(ctx, n.witnesses.transport, &http.Request{
		Method:        http.MethodPost,
		URL:           &url.URL{Scheme: "http", Host: addr, Path: suspectsPath},
		Host:          suspectsHost,
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
		return &SuspectsRefusedError{Status: resp.StatusCode}
	}
	return nil
}

// SuspectsRefusedError reports that a member did not accept a suspects message.
type SuspectsRefusedError struct{ Status int }

// Error implements error.
func (e *SuspectsRefusedError) Error() string {
	return "member refused the suspects message with status " + http.StatusText(e.Status)
}

// isSuspectsMessage reports whether a request at the peer listener is a suspects message
// and not a call.
func (*Node) isSuspectsMessage(r *http.Request) bool {
	return r.Method == http.MethodPost && r.URL.Path == suspectsPath && r.Host == suspectsHost
}

// serveSuspects receives a suspects message from a member.
func (n *Node) serveSuspects(w http.ResponseWriter, r *http.Request) {
	var m suspectsMessage
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxSuspectsBytes)).Decode(&m); err != nil {
		n.answerBadRequest(w, r, &BodyError{Cause: err})
		return
	}
	if err := n.knownMember(atmostonce.Incarnation(m.From)); err != nil {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	n.quarantine.ledger.Suspect(unpackSuspects(m.Suspects), n.now())
	w.WriteHeader(http.StatusNoContent)
}
