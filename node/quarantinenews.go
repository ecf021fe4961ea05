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

// tellHeld tells all members what this node says of requests.
func (n *Node) tellHeld() {
	records := n.quarantine.bulletin.Records()
	told := make([]membership.HeldRequest, 0, len(records))
	for _, r := range records {
		told = append(told, membership.HeldRequest{Fingerprint: uint64(r.Fingerprint), Ends: uint8(r.Ends), Stamp: r.Stamp})
	}
	if err := n.gossip.Update(func(m *membership.Member) { m.Held = told }); err != nil {
		n.log.Emit(observe.NodeFailed, observe.Err(err))
	}
}

// mergeHeld takes in what the members say. It runs on every change of the membership.
func (n *Node) mergeHeld(members []membership.Member) {
	changed := false
	told := make(map[quarantine.Fingerprint]bool)
	for i := range members {
		for _, held := range members[i].Held {
			record := recordOf(held)
			told[record.Fingerprint] = true
			if members[i].ID != n.id {
				changed = n.mergeRecord(record) || changed
			}
		}
	}
	if n.adoptUntold(members, told) || changed {
		n.tellHeld()
	}
}

// adoptUntold has this node tell of requests that are held and that no member tells of
// any more, if it is the one to do so.
//
// The failure: the node that has found a request is restarted. The others still hold
// it, but nodes that start later never hear of it.
func (n *Node) adoptUntold(members []membership.Member, told map[quarantine.Fingerprint]bool) (adopted bool) {
	var ids []string
	for _, record := range n.quarantine.ledger.Told(n.now()) {
		if told[record.Fingerprint] {
			continue
		}
		if ids == nil {
			for i := range members {
				ids = append(ids, members[i].ID)
			}
		}
		if quarantine.Custodian(ids, record.Fingerprint) == n.id {
			n.quarantine.bulletin.Post(record, n.now())
			adopted = true
		}
	}
	return adopted
}

func recordOf(held membership.HeldRequest) quarantine.Record {
	return quarantine.Record{Fingerprint: quarantine.Fingerprint(held.Fingerprint), Ends: int(held.Ends), Stamp: held.Stamp}
}

// mergeRecord takes in one record, and reports whether it changes what this node tells.
func (n *Node) mergeRecord(told quarantine.Record) (changed bool) {
	news, answer, contradicts := n.quarantine.ledger.Merge(told, n.now())
	if !news {
		return false
	}
	changed = n.quarantine.bulletin.Withdraw(told.Fingerprint)
	switch {
	case contradicts:
		n.noteCleared(answer, "completed")
		n.quarantine.bulletin.Post(answer, n.now())
		return true
	case told.Ends > 0:
		n.noteHeld(told, "")
	default:
		n.noteCleared(told, "member")
	}
	return changed
}

// suspectsPath is where a peer listener is told of suspects, as JSON.
const suspectsPath = "/.pollengauge/suspects"

// suspectsHost is the Host of such a message: it can't be a service.
const suspectsHost = "suspects.pollengauge"

const (
	// maxSuspects bounds the requests in one message, and maxSuspectsBytes the message.
	maxSuspects      = 2048
	maxSuspectsBytes = 64 << 10
	// suspectsWait bounds one message.
	suspectsWait = time.Second
	// suspectsAtOnce bounds the messages that are on their way at the same time.
	suspectsAtOnce = 8
)

// suspectsMessage tells the members of a service which requests an upstream of it was
// running as it ended. The rest of the fleet need not know: one end holds nothing back.
type suspectsMessage struct {
	From string `json:"from"`
	// Suspects has 8 bytes for each fingerprint.
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

// unpackSuspects is the inverse of packSuspects. It returns nil for what no member
// sends.
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

// tellSuspects tells the other members of this service of suspects.
//
// The failure: a request that can't be repeated comes again at another node each time
// and ends an upstream each time. If each node beside an upstream counted for itself,
// it would end all of them before the first is counted twice.
func (n *Node) tellSuspects(suspects []quarantine.Fingerprint) {
	body, err := json.Marshal(suspectsMessage{From: n.id, Suspects: packSuspects(suspects[:min(len(suspects), maxSuspects)])})
	if err != nil {
		n.log.Emit(observe.NodeFailed, observe.Err(err))
		return
	}
	places := make(chan struct{}, suspectsAtOnce)
	for _, m := range n.gossip.Members() {
		if m.Service != n.settings.Service || m.ID == n.id {
			continue
		}
		go func() {
			places <- struct{}{}
			defer func() { <-places }()
			if err := n.postSuspects(m.Addr, body); err != nil {
				n.log.Emit(observe.SuspectsUntold, observe.Str("member", m.ID[:min(idPrefix, len(m.ID))]), observe.Err(err))
			}
		}()
	}
}

func (n *Node) postSuspects(addr string, body []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), suspectsWait)
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

// SuspectsRefusedError tells that a member did not take news of suspects.
type SuspectsRefusedError struct{ Status int }

// Error implements error.
func (e *SuspectsRefusedError) Error() string {
	return "member refused the news with status " + http.StatusText(e.Status)
}

// takesSuspects tells news of suspects from calls.
func (*Node) takesSuspects(r *http.Request) bool {
	return r.Method == http.MethodPost && r.URL.Path == suspectsPath && r.Host == suspectsHost
}

// serveSuspects takes news of suspects from a member of the same service.
func (n *Node) serveSuspects(w http.ResponseWriter, r *http.Request) {
	var m suspectsMessage
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxSuspectsBytes)).Decode(&m); err != nil {
		n.writeBad(w, r, &BodyError{Cause: err})
		return
	}
	if err := n.knownMember(atmostonce.Incarnation(m.From)); err != nil {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	n.quarantine.ledger.Suspect(unpackSuspects(m.Suspects), n.now())
	w.WriteHeader(http.StatusNoContent)
}
