package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"
)

// beat sends heartbeats until ctx ends.
func (u *upstream) beat(ctx context.Context) {
	tick := time.NewTicker(heartbeatEvery)
	defer tick.Stop()
	for {
		u.mu.Lock()
		up := u.server != nil
		u.sequence++
		b := u.report()
		u.mu.Unlock()
		if up {
			u.tell(ctx, b)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// beat is the content of a heartbeat.
type beat struct {
	instance string
	life     int
	again    bool
	born     time.Time
	state    string
	sequence int
}

// report returns the heartbeat of the current incarnation. The caller holds u.mu.
func (u *upstream) report() beat {
	return beat{instance: u.instance, life: u.starts, again: u.again, born: u.born, state: u.state, sequence: u.sequence}
}

func (u *upstream) tell(ctx context.Context, b beat) {
	body, _ := json.Marshal(map[string]any{
		"born":        b.born.UnixMilli(),
		"address":     u.addr,
		"information": map[string]any{"service": u.service, "slots": upstreamSlots},
		"status":      map[string]any{"state": b.state, "sequence": b.sequence},
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
		add(u.record, &u.record.leaves, leave{instance: b.instance, life: b.life, vm: u.vm, at: time.Now()})
	} else if b.again {
		add(u.record, &u.record.returns, comeback{vm: u.vm, life: b.life, at: time.Now()})
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
	u.tell(ctx, late)
	return nil
}

// lateSequence is added to the sequence number of the delayed heartbeat, so that it
// is higher than the new incarnation's.
const lateSequence = 1000
