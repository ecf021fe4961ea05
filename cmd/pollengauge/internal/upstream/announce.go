package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"pollengauge.dev/node"
)

// Announce announces the stand-in to its node at every Interval until ctx is done,
// because a node that restarts loses earlier announcements. It calls report after
// the first announcement and whenever success and failure alternate: with the first
// error of a series, and with nil when announcements succeed.
func (u *Upstream) Announce(ctx context.Context, report func(error)) {
	tick := time.NewTicker(u.settings.Interval)
	defer tick.Stop()
	failing, reported := false, false
	for {
		err := u.announce(ctx)
		if ctx.Err() != nil {
			return
		}
		if !reported || failing != (err != nil) {
			report(err)
		}
		failing, reported = err != nil, true
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

const (
	announceTimeout = 2 * time.Second
	maxDetailBytes  = 4 << 10
)

func (u *Upstream) announce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	body, err := json.Marshal(node.Announcement{
		Service:    u.settings.Service,
		Addr:       u.Addr(),
		Slots:      u.settings.Slots,
		ShedStatus: shedStatus,
		Load:       float64(u.inFlight.Load()) / float64(u.settings.Slots),
	})
	if err != nil {
		return &AnnounceError{Node: u.settings.NodeAdmin, Cause: err}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+u.settings.NodeAdmin+node.PathAnnounce, bytes.NewReader(body))
	if err != nil {
		return &AnnounceError{Node: u.settings.NodeAdmin, Cause: err}
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := u.client.Do(req)
	if err != nil {
		return &AnnounceError{Node: u.settings.NodeAdmin, Cause: err}
	}
	defer func() { _ = resp.Body.Close() }()
	detail, err := io.ReadAll(io.LimitReader(resp.Body, maxDetailBytes))
	if err != nil || resp.StatusCode != http.StatusOK {
		return &AnnounceError{Node: u.settings.NodeAdmin, Status: resp.StatusCode, Detail: strings.TrimSpace(string(detail)), Cause: err}
	}
	return nil
}
