package node

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/call"
	"pollengauge.dev/config"
)

// headOf returns a request head whose fields, with the empty line behind them, have exactly
// size bytes as sent. It has the given number of fields besides X-Id and X-Pad.
func headOf(method, target, host, id string, fields, size int) string {
	const pad, own = "X-Pad", "X-Id"
	text := "Host: " + host + "\r\nConnection: close\r\n" + own + ": " + id + "\r\n"
	for i := range fields {
		text += "X-" + strconv.Itoa(i) + ": v\r\n"
	}
	text += pad + ": "
	const end = "\r\n\r\n"
	return method + " " + target + " HTTP/1.1\r\n" + text + strings.Repeat("p", max(size-len(text)-len(end), 0)) + end
}

// A caller sends a head that is just within the operators' limit: many fields, a long
// id, a long host. The node used to accept it and add the context for other nodes,
// and the next node refused it, or the node itself refused it for a limit that no
// operator had set. The caller was told permanently that its request is invalid.
func TestHeadsWithinTheConfiguredLimitPassEveryHop(t *testing.T) {
	inFleet(t, func(f *fleet) {
		widest := func(s *Settings) { s.MaxHeaderBytes = config.MaxHeaderBytes }
		front := f.addRouted("front", strings.Repeat("f", maxName), 10, echo, widest)
		f.addRouted("desk", "desk", 10, echo, widest)
		f.settle()
		id := strings.Repeat("i", call.MaxIDLength)
		for version, one := range []struct{ bound, fields int }{
			{2 * config.MinHeaderBytes, 100},
			{16 << 10, 1000},
			{64 << 10, 4000},
			{config.MaxHeaderBytes, 300},
		} {
			f.offerLimits(front, uint64(version)+2, config.Limits{RetryRatio: config.DefaultRetryRatio, HeaderBytes: one.bound})
			name := qt.Commentf("%d bytes, %d fields", one.bound, one.fields)
			short := id[:min(len(id), one.bound/4)]
			resp := f.raw(front, OutboundListener, headOf(http.MethodGet, "/browse/x", "desk.example:65535", short, one.fields, one.bound))
			f.c.Assert(resp, qt.IsNotNil, name)
			f.c.Check(resp.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%s: %s", name, resp.Header.Get("X-Reason")))
			over := f.raw(front, OutboundListener, headOf(http.MethodGet, "/browse/x", "desk.example:65535", short, one.fields, one.bound+1))
			f.c.Assert(over, qt.IsNotNil, name)
			f.c.Check(over.StatusCode, qt.Equals, http.StatusRequestHeaderFieldsTooLarge, name)
		}
		time.Sleep(time.Second) // net/http waits before it closes
	})
}

// The header space that each node reserves for the headers added by other nodes must
// hold the longest possible context.
func TestReservedHeaderSpaceFitsTheLongestContext(t *testing.T) {
	c := qt.New(t)
	h := http.Header{}
	call.Context{
		RequestID:    strings.Repeat("i", call.MaxIDLength),
		Profile:      strings.Repeat("p", config.MaxNameLength),
		Level:        call.MaxLevel,
		Timeout:      call.MaxTimeout,
		Credit:       call.MaxCredit,
		Depth:        call.MaxDepth,
		Progress:     call.MaxProgress,
		RefusedShare: 1000,
		Repeat:       true,
		Host:         strings.Repeat("h", maxHostLength) + ":65535",
		Origin:       strings.Repeat("o", maxName),
	}.Inject(h)
	_, err := call.Extract(h)
	c.Assert(err, qt.IsNil)
	h.Set(call.HeaderHome, strconv.Itoa(maxOwnerHops))
	h.Set(call.HeaderTraceParent, strings.Repeat("t", 55))
	h.Set("Content-Length", strconv.FormatInt(config.MaxBodyBytes, 10))
	added := &http.Request{Header: h, Host: strings.Repeat("s", maxName)}
	c.Check(headLimit{bytes: nodeHeaderBytes, fields: nodeHeaderFields}.check(added), qt.IsNil)
}
