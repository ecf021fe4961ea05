package soak

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// batch is a group of requests pipelined on one connection: all are sent before the
// first response arrives.
type batch struct {
	ids []string
	// answered counts the complete responses. closes is true if the last of them
	// announced that the connection closes.
	answered int
	closes   bool
	// sentAt is when the last byte was sent.
	sentAt time.Time
	// extra counts the bytes received after the last response.
	extra int
}

// Behaviour of customers that pipeline requests.
const (
	mostPipelined = 6
	batchWait     = 2 * customerDeadline
	batchPause    = 150 * time.Millisecond
	unsafeShare   = 0.2
	// longShare is the share of pipelined requests that take long during planned work.
	longShare = 0.15
	// extraWait is how long the customer waits for unsolicited bytes.
	extraWait = 2 * lateExtra
)

// pipeliner sends batches to one VM until ctx ends. It reuses its connection as long
// as the connection is usable.
func (f *fleet) pipeliner(ctx context.Context, v *vm) {
	var conn net.Conn
	defer func() { closeConn(conn) }()
	for ctx.Err() == nil {
		if conn == nil {
			conn, _ = net.DialTimeout("tcp", v.at(f.customerPort()), time.Second)
		}
		if conn != nil && !f.sendBatch(conn, v) {
			closeConn(conn)
			conn = nil
		}
		pause(ctx, batchPause/2+rand.N(batchPause))
	}
}

func closeConn(conn net.Conn) {
	if conn != nil {
		_ = conn.Close()
	}
}

// sendBatch pipelines some requests, reads their responses in order, and reports
// whether the connection can be reused.
func (f *fleet) sendBatch(conn net.Conn, v *vm) bool {
	var b batch
	var text bytes.Buffer
	start := time.Now()
	for range 2 + rand.IntN(mostPipelined-1) {
		s := sent{id: newID(), vm: v.number, at: start, method: http.MethodGet, path: pathBrowse, origin: v.upstream.service, wait: customerDeadline}
		if rand.Float64() < unsafeShare {
			s.method, s.path, s.unsafe = http.MethodPost, pathFile, true
			s.body = strings.Repeat(s.id, 1+rand.IntN(20))
		}
		if f.terms.planned && rand.Float64() < longShare {
			s.path += longWorkPart
		}
		s.path += s.id
		s.chooseTenant()
		b.ids = append(b.ids, s.id)
		add(f.record, &f.record.sent, s)
		text.WriteString(head(s, len(s.body)) + s.body)
	}
	_ = conn.SetDeadline(start.Add(batchWait))
	if _, err := conn.Write(text.Bytes()); err != nil {
		return false
	}
	b.sentAt = time.Now()
	usable := f.readBatch(conn, v, &b, start)
	add(f.record, &f.record.batches, b)
	return usable
}

// head returns the request line and headers of a request as text.
func head(s sent, length int) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %s\r\n\r\n",
		s.method, s.path, host, headerID, s.id, headerKey, s.key, headerTimeout, customerDeadline.Milliseconds(), strconv.Itoa(length))
}

// readBatch reads the responses of a batch and reports whether the connection can be
// reused. Requests without a response are recorded as incomplete.
func (f *fleet) readBatch(conn net.Conn, v *vm, b *batch, start time.Time) bool {
	reader := bufio.NewReader(conn)
	for i, id := range b.ids {
		a := readAnswer(reader, id, v.number, start)
		a.sentAt = b.sentAt
		add(f.record, &f.record.answers, a)
		if !a.complete {
			f.recordUnanswered(b.ids[i+1:], v, start, b.sentAt, a.failure)
			return false
		}
		b.answered++
		if a.closes {
			b.closes = true
			f.recordUnanswered(b.ids[i+1:], v, start, b.sentAt, behindClose)
			b.extra = countUnsolicited(conn, reader)
			return false
		}
	}
	b.extra = countUnsolicited(conn, reader)
	return b.extra == 0
}

// behindClose is the failure of a request behind a response that announced that the
// connection closes.
const behindClose = "behind a response that closed the connection"

func (f *fleet) recordUnanswered(ids []string, v *vm, start, sentAt time.Time, failure string) {
	for _, id := range ids {
		add(f.record, &f.record.answers, answered{id: id, vm: v.number, at: time.Now(), took: time.Since(start), sentAt: sentAt, failure: failure})
	}
}

// readAnswer reads the next response on a connection, as that of the request id.
func readAnswer(reader *bufio.Reader, id string, vm int, start time.Time) answered {
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return answered{id: id, vm: vm, at: time.Now(), took: time.Since(start), failure: err.Error()}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return newAnswered(id, vm, start, resp, body, err)
}

// countUnsolicited returns the number of unsolicited bytes that arrive within extraWait.
func countUnsolicited(conn net.Conn, reader *bufio.Reader) int {
	_ = conn.SetReadDeadline(time.Now().Add(extraWait))
	if _, err := reader.Peek(1); err != nil {
		return 0
	}
	return reader.Buffered()
}

// answersComeInOrder checks that the responses on a connection come in the order of
// its requests, and that no unsolicited bytes follow them.
func (j *judgement) answersComeInOrder() {
	for _, a := range j.answers {
		if a.echo != "" && a.echo != a.id {
			j.add("order", "%s got the response of %s", a.id, a.echo)
		}
	}
	for _, b := range j.batches {
		if b.extra > 0 {
			j.add("order", "%d unsolicited bytes followed the responses of %v", b.extra, b.ids)
		}
	}
}

// requestsBehindCloseDoNotRun checks that no unsafe request has run that was pipelined behind a
// response which announced that the connection closes: customers may send such a
// request again.
func (j *judgement) requestsBehindCloseDoNotRun() {
	for _, b := range j.batches {
		if !b.closes {
			continue
		}
		ran := func(id string) bool { return j.requests[id].unsafe && executed(j.runsOf[id]) > 0 }
		if i := slices.IndexFunc(b.ids[b.answered:], ran); i >= 0 {
			j.add("close", "%s was pipelined behind the last response of a connection and has run", b.ids[b.answered+i])
		}
	}
}
