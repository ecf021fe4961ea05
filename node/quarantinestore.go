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
	// maxStoredPerCrash bounds the records that one crash sends to the platform. If more
	// requests are suspected, most of them are innocent and quarantined for seconds
	// only.
	maxStoredPerCrash = 4
	// maxQueuedRecords bounds the records that wait to be sent to the platform.
	maxQueuedRecords = 64
	// storeRetryPause is the time between two attempts to reach the platform.
	storeRetryPause = time.Second
	// maxStoreAttempts bounds the attempts to store one record.
	maxStoreAttempts = 60
)

// recordQueue queues records that are to be stored in the platform.
type recordQueue struct{ waiting chan storedRecord }

func newRecordQueue() recordQueue {
	return recordQueue{waiting: make(chan storedRecord, maxQueuedRecords)}
}

// storedRecord is the stored form of a record.
type storedRecord struct {
	Fingerprint string `json:"fingerprint"`
	Ends        int    `json:"ends"`
	Stamp       uint64 `json:"stamp"`
	Request     string `json:"request,omitempty"`
}

func (r *storedRecord) name() string { return r.Fingerprint }

// queueRecord queues a record to be stored, so that the members know it after all of
// them have been restarted. A record that clears a request removes the stored one.
func (n *Node) queueRecord(record quarantine.Record, label string) {
	if n.store == nil {
		return
	}
	entry := storedRecord{
		Fingerprint: record.Fingerprint.String(),
		Ends:        record.Ends,
		Stamp:       record.Stamp,
		Request:     label,
	}
	select {
	case n.quarantine.toStore.waiting <- entry:
	default:
		n.log.Emit(observe.RequestUnkept, observe.Str("fingerprint", entry.Fingerprint), observe.Str("cause", "the queue of records to store is full"))
	}
}

// runRecordStore reads the stored records and then stores queued ones until ctx ends. The
// read is relaxed: the members announce recent records, and the nodes that watch the
// platform make an exact read (see startWatch).
func (n *Node) runRecordStore(ctx context.Context) {
	if n.store == nil {
		return
	}
	n.readRecords(ctx, func(ctx context.Context) ([]objects.Object, error) {
		return objects.ListRelaxed(ctx, n.store, quarantineKind, "")
	})
	for {
		select {
		case <-ctx.Done():
			return
		case entry := <-n.quarantine.toStore.waiting:
			n.storeRecord(ctx, entry)
		}
	}
}

// readRecordsExactly makes an exact read of the stored records.
func (n *Node) readRecordsExactly(ctx context.Context) {
	n.readRecords(ctx, func(ctx context.Context) ([]objects.Object, error) {
		stored, _, err := n.store.List(ctx, quarantineKind, "")
		return stored, err
	})
}

// readRecords merges the records that list reads from the platform, and retries until the
// read succeeds or ctx ends.
func (n *Node) readRecords(ctx context.Context, list func(context.Context) ([]objects.Object, error)) {
	for n.mergeStoredRecords(ctx, list) != nil {
		if !objects.Pause(ctx, storeRetryPause) {
			return
		}
	}
}

// mergeStoredRecords merges the records that list reads from the platform.
func (n *Node) mergeStoredRecords(ctx context.Context, list func(context.Context) ([]objects.Object, error)) error {
	stored, err := list(ctx)
	var absent *objects.NotFoundError
	if errors.As(err, &absent) {
		return nil
	}
	if err != nil {
		return err
	}
	for _, object := range stored {
		n.mergeStoredRecord(object)
	}
	return nil
}

// mergeStoredRecord merges one stored record. A record that can't be parsed quarantines
// nothing.
func (n *Node) mergeStoredRecord(object objects.Object) {
	var entry storedRecord
	err := json.Unmarshal(object.Value, &entry)
	var f quarantine.Fingerprint
	if err == nil {
		f, err = quarantine.ParseFingerprint(entry.Fingerprint)
	}
	if err != nil {
		n.log.Emit(observe.RequestUnkept, observe.Str("object", object.Name), observe.Str("cause", "the object can't be parsed"))
		return
	}
	if n.mergeRecord(quarantine.Record{Fingerprint: f, Ends: entry.Ends, Stamp: entry.Stamp}) {
		n.announceQuarantined()
	}
}

// storeRecord stores one record, or removes it if the request was cleared.
func (n *Node) storeRecord(ctx context.Context, entry storedRecord) {
	var err error
	for range maxStoreAttempts {
		if entry.Ends == 0 {
			err = n.removeRecord(ctx, entry)
		} else {
			err = n.writeRecord(ctx, entry)
		}
		if err == nil || !objects.Pause(ctx, storeRetryPause) {
			return
		}
	}
	n.log.Emit(observe.RequestUnkept, observe.Str("fingerprint", entry.Fingerprint), observe.Err(err))
}

func (n *Node) writeRecord(ctx context.Context, entry storedRecord) error {
	value, err := json.Marshal(entry)
	if err != nil {
		return err
	}
	_, err = n.store.Create(ctx, quarantineKind, entry.name(), value)
	var exists *objects.ConflictError
	if !errors.As(err, &exists) {
		return err
	}
	stored, err := n.store.Get(ctx, quarantineKind, entry.name())
	if err != nil {
		return err
	}
	var known storedRecord
	if json.Unmarshal(stored.Value, &known) == nil && known.Stamp >= entry.Stamp {
		return nil
	}
	stored.Value = value
	_, err = n.store.Update(ctx, stored)
	return err
}

func (n *Node) removeRecord(ctx context.Context, entry storedRecord) error {
	stored, err := n.store.Get(ctx, quarantineKind, entry.name())
	if err == nil {
		err = n.store.Delete(ctx, quarantineKind, stored.Name, stored.Version)
	}
	var absent *objects.NotFoundError
	if errors.As(err, &absent) {
		return nil
	}
	return err
}
