package node

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"pollengauge.dev/objects"
	"pollengauge.dev/observe"
	"pollengauge.dev/quarantine"
)

// quarantineKind is the kind of the platform's objects that hold records of requests.
const quarantineKind = "pollengauge-quarantine"

const (
	// maxKeptAtOnce bounds the records that one end sends to the platform. Where more
	// requests are in question, most of them are innocent and held for seconds only.
	maxKeptAtOnce = 4
	// maxKeptWaiting bounds the records on their way to the platform.
	maxKeptWaiting = 64
	// keptPause is the time between two tries at the platform.
	keptPause = time.Second
	// keptTries bounds the tries for one record.
	keptTries = 60
)

// keptRecords are records on their way to the platform.
type keptRecords struct{ waiting chan keptRecord }

func newKeptRecords() keptRecords {
	return keptRecords{waiting: make(chan keptRecord, maxKeptWaiting)}
}

// keptRecord is one record as it is stored.
type keptRecord struct {
	Fingerprint string `json:"fingerprint"`
	Ends        int    `json:"ends"`
	Stamp       uint64 `json:"stamp"`
	Request     string `json:"request,omitempty"`
}

func (r *keptRecord) name() string { return r.Fingerprint }

// keepRecord has a record stored, so that the members know it when all of them have
// been started anew. One that clears a request removes what is stored.
func (n *Node) keepRecord(record quarantine.Record, label string) {
	if n.store == nil {
		return
	}
	kept := keptRecord{
		Fingerprint: record.Fingerprint.String(),
		Ends:        record.Ends,
		Stamp:       record.Stamp,
		Request:     label,
	}
	select {
	case n.quarantine.kept.waiting <- kept:
	default:
		n.log.Emit(observe.RequestUnkept, observe.Str("fingerprint", kept.Fingerprint), observe.Str("cause", "too many are waiting"))
	}
}

// runKeptRecords reads what is stored, and then stores what comes, until ctx ends.
func (n *Node) runKeptRecords(ctx context.Context) {
	if n.store == nil {
		return
	}
	for n.readKept(ctx) != nil {
		if !objects.Pause(ctx, keptPause) {
			return
		}
	}
	for {
		select {
		case <-ctx.Done():
			return
		case kept := <-n.quarantine.kept.waiting:
			n.storeKept(ctx, kept)
		}
	}
}

// readKept takes in what the platform has.
func (n *Node) readKept(ctx context.Context) error {
	stored, _, err := n.store.List(ctx, quarantineKind, "")
	var absent *objects.NotFoundError
	if errors.As(err, &absent) {
		return nil
	}
	if err != nil {
		return err
	}
	for _, object := range stored {
		n.takeKept(object)
	}
	return nil
}

// takeKept takes in one stored record. What can't be read holds nothing back.
func (n *Node) takeKept(object objects.Object) {
	var kept keptRecord
	err := json.Unmarshal(object.Value, &kept)
	var f quarantine.Fingerprint
	if err == nil {
		f, err = quarantine.ParseFingerprint(kept.Fingerprint)
	}
	if err != nil {
		n.log.Emit(observe.RequestUnkept, observe.Str("object", object.Name), observe.Str("cause", "the object can't be read"))
		return
	}
	if n.mergeRecord(quarantine.Record{Fingerprint: f, Ends: kept.Ends, Stamp: kept.Stamp}) {
		n.tellHeld()
	}
}

// storeKept stores one record, or removes it if the request is cleared.
func (n *Node) storeKept(ctx context.Context, kept keptRecord) {
	var err error
	for range keptTries {
		if kept.Ends == 0 {
			err = n.removeKept(ctx, kept)
		} else {
			err = n.putKept(ctx, kept)
		}
		if err == nil || !objects.Pause(ctx, keptPause) {
			return
		}
	}
	n.log.Emit(observe.RequestUnkept, observe.Str("fingerprint", kept.Fingerprint), observe.Err(err))
}

func (n *Node) putKept(ctx context.Context, kept keptRecord) error {
	value, err := json.Marshal(kept)
	if err != nil {
		return err
	}
	_, err = n.store.Create(ctx, quarantineKind, kept.name(), value)
	var exists *objects.ConflictError
	if !errors.As(err, &exists) {
		return err
	}
	stored, err := n.store.Get(ctx, quarantineKind, kept.name())
	if err != nil {
		return err
	}
	var known keptRecord
	if json.Unmarshal(stored.Value, &known) == nil && known.Stamp >= kept.Stamp {
		return nil
	}
	stored.Value = value
	_, err = n.store.Update(ctx, stored)
	return err
}

func (n *Node) removeKept(ctx context.Context, kept keptRecord) error {
	stored, err := n.store.Get(ctx, quarantineKind, kept.name())
	if err == nil {
		err = n.store.Delete(ctx, quarantineKind, stored.Name, stored.Version)
	}
	var absent *objects.NotFoundError
	if errors.As(err, &absent) {
		return nil
	}
	return err
}
