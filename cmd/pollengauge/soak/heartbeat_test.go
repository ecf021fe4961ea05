package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"
)

// sendHeartbeats sends heartbeats until ctx ends.
func (u *upstream) sendHeartbeats(ctx context.Context) {
	tick := time.NewTicker(heartbeatEvery)
	defer tick.Stop()
	for {
		u.mu.Lock()
		up := u.server != nil && !u.silent
		u.sequence++
		b := u.report()
		u.mu.Unlock()
		if up {
			u.sendHeartbeat(ctx, b)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// heartbeat is the content of a heartbeat.
type heartbeat struct {
	instance    string
	incarnation int
	sameID      bool
	born        time.Time
	state       string
	sequence    int
}

// report returns the heartbeat of the current incarnation. The caller holds u.mu.
func (u *upstream) report() heartbeat {
	return heartbeat{instance: u.instance, incarnation: u.starts, sameID: u.sameID, born: u.born, state: u.state, sequence: u.sequence}
}

func (u *upstream) sendHeartbeat(ctx context.Context, b heartbeat) {
	body, _ := json.Marshal(map[string]any{
		"born":        b.born.UnixMilli(),
		"address":     u.addr,
		"information": map[string]any{"service": u.service, "version": "v1", "zone": u.zone, "slots": upstreamSlots},
		"status":      map[string]any{"state": b.state, "sequence": b.sequence, "cold_remaining_s": 0},
	})
	ctx, cancel := context.WithTimeout(ctx, heartbeatWait)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+u.control+"/-/Instances.Heartbeat/"+b.instance, bytes.NewReader(body))
	resp, err := u.client.Do(req)
	if err != nil {
		return
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return
	}
	if b.state == "draining" {
		add(u.record, &u.record.drainNotices, drainNotice{instance: b.instance, incarnation: b.incarnation, vm: u.vm, at: time.Now()})
	} else if b.sameID {
		add(u.record, &u.record.restarts, restarted{vm: u.vm, incarnation: b.incarnation, at: time.Now()})
	}
}

// restart crashes the incarnation and starts the next one under the same instance
// id. Then it sends a delayed heartbeat of the previous incarnation, which announces
// that the previous incarnation is draining.
func (u *upstream) restart(ctx context.Context, away time.Duration) error {
	u.mu.Lock()
	late := u.report()
	u.mu.Unlock()
	u.crash()
	pause(ctx, away)
	if err := u.startAs(true); err != nil {
		return err
	}
	pause(ctx, 2*heartbeatEvery)
	late.sequence += lateSequence
	late.state = "draining"
	u.sendHeartbeat(ctx, late)
	return nil
}

// lateSequence is added to the sequence number of the delayed heartbeat, so that it
// is higher than the new incarnation's.
const lateSequence = 1000
