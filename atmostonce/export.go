package atmostonce

import (
	"time"

	"pollengauge.dev/call"
)

// export creates the chunks of a hand-over attempt. They are created once per
// attempt: if the entries were divided into chunks again in another way,
// delayed messages could mix chunks of both divisions, and a fate would be lost
// between them. The owner records are in the first chunk.
func (t *Table) export() []Chunk {
	now := t.clock.now()
	v := t.current.Load()
	blank := Chunk{From: v.incarnation, To: t.handOver.to, Attempt: t.handOver.attempt}
	chunks := []Chunk{blank}
	chunks[0].Homes = t.homeRecords(v, now)
	var size int64
	for _, s := range t.shards {
		for _, record := range s.records(v) {
			n := int64(len(record.Key)) + record.Answer.size() + entryOverhead
			if size > 0 && size+n > t.cfg.ChunkBytes {
				chunks = append(chunks, blank)
				size = 0
			}
			last := &chunks[len(chunks)-1]
			last.Entries = append(last.Entries, record)
			size += n
		}
	}
	for i := range chunks {
		chunks[i].Seq = i
		chunks[i].Total = len(chunks)
	}
	return chunks
}

// entryOverhead is the estimated size in bytes of an EntryRecord without its
// key and answer.
const entryOverhead = 256

func (t *Table) homeRecords(v *view, now time.Time) []HomeRecord {
	var records []HomeRecord
	for inc, owner := range v.owned {
		keysExpireAt := owner.keysExpireAt
		if keysExpireAt.IsZero() {
			keysExpireAt = now.Add(t.cfg.Window + t.cfg.MaxSkew)
		}
		records = append(records, HomeRecord{
			Incarnation:    inc,
			NowUnixNano:    now.Add(owner.clockOffset).UnixNano(),
			RetireUnixNano: keysExpireAt.Add(owner.clockOffset).UnixNano(),
		})
	}
	return records
}

// records returns the fates of the keys that are being handed over. Released
// keys are not among them: the successor finds them absent and queries the
// store.
func (s *shard) records(v *view) []EntryRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	var records []EntryRecord
	for _, e := range s.entries {
		owner, ok := v.owned[e.owner]
		if !ok {
			continue
		}
		records = append(records, e.record(owner))
	}
	return records
}

func (e *entry) record(owner ownerClock) EntryRecord {
	r := EntryRecord{
		Key:             e.Key,
		Home:            e.owner,
		ExpiresUnixNano: e.expires.Add(owner.clockOffset).UnixNano(),
		Done:            e.state == StateDone,
		Answer:          e.answer,
		Reason:          e.reason,
		RequestID:       e.RequestID,
		Profile:         e.Profile,
		Fingerprint:     e.Fingerprint,
		Durable:         e.Durable,
		Unsaved:         e.unsaved,
		ClaimID:         e.claimID,
		ClaimVersion:    e.claimVersion,
	}
	if e.state == StateDispatched {
		r.Reason = call.ReasonDraining
	}
	return r
}

func (r EntryRecord) entry(clockOffset time.Duration, now time.Time) *entry {
	_, minted, _ := ParseKey(r.Key)
	state := StateUnknown
	if r.Done {
		state = StateDone
	}
	return &entry{
		Presentation: Presentation{
			Key:         r.Key,
			RequestID:   r.RequestID,
			Profile:     r.Profile,
			Fingerprint: r.Fingerprint,
			Durable:     r.Durable,
		},
		owner:        r.Home,
		minted:       minted,
		state:        state,
		reason:       r.Reason,
		since:        now,
		expires:      time.Unix(0, r.ExpiresUnixNano).Add(-clockOffset),
		claimID:      r.ClaimID,
		claimVersion: r.ClaimVersion,
		unsaved:      r.Unsaved,
	}
}
