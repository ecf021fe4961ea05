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

// quarantineKind is the kind of the platform objects that hold quarantine records.
const quarantineKind = "pollengauge-quarantine"

const (
	// maxKeptAtOnce bounds the records that one crash sends to the platform. If more
	// requests are suspected, most of them are innocent and quarantined for seconds
	// only.
	maxKeptAtOnce = 4
	// maxKeptWaiting bounds the records that wait to be sent to the platform.
	maxKeptWaiting = 64
	// keptPause is the time between two attempts to reach the platform.
	keptPause = time.Second
	// keptTries bounds the attempts to store one record.
	keptTries = 60
)

// keptRecords queues records that are to be stored in the platform.
type keptRecords struct{ waiting chan keptRecord }

func newKeptRecords() keptRecords {
	return keptRecords{waiting: make(chan keptRecord, maxKeptWaiting)}
}

// keptRecord is the stored form of a record.
type keptRecord struct {
	Fingerprint string `json:"fingerprint"`
	Ends        int    `json:"ends"`
	Stamp       uint64 `json:"stamp"`
	Request     string `json:"request,omitempty"`
}

func (r *keptRecord) name() string { return r.Fingerprint }

// keepRecord queues a record to be stored, so that the members know it after all of them
// have been restarted. A record that clears a request removes the stored one.
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
		n.log.Emit(observe.RequestUnkept, observe.Str("fingerprint", kept.Fingerprint), observe.Str("cause", "the queue of records to store is full"))
	}
}

// runKeptRecords reads the stored records and then stores queued ones until ctx ends.
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

// readKept merges the records that the platform holds.
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

// takeKept merges one stored record. A record that can't be parsed quarantines nothing.
func (n *Node) takeKept(object objects.Object) {
	var kept keptRecord
	err := json.Unmarshal(object.Value, &kept)
	var f quarantine.Fingerprint
	if err == nil {
		f, err = quarantine.ParseFingerprint(kept.Fingerprint)
	}
	if err != nil {
		n.log.Emit(observe.RequestUnkept, observe.Str("object", object.Name), observe.Str("cause", "the object can't be parsed"))
		return
	}
	if n.mergeRecord(quarantine.Record{Fingerprint: f, Ends: kept.Ends, Stamp: kept.Stamp}) {
		n.tellHeld()
	}
}

// storeKept stores one record, or removes it if the request was cleared.
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
