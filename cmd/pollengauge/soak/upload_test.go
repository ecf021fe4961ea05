package soak

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Behaviour of customers that upload.
const (
	smallestUpload = 64 << 10
	largestUpload  = 1 << 20
	uploadEvery    = 400 * time.Millisecond
	// incompleteShare is the share of uploads that stop halfway.
	incompleteShare = 0.4
	stall           = 500 * time.Millisecond
	// uploadsAtOnce is the number of concurrent uploads of a burst to one VM.
	uploadsAtOnce = 200
)

// uploadBytes is the longest upload body. Each upload sends the first part of it.
var uploadBytes = strings.Repeat("0123456789abcdef", largestUpload/16)

// longBody is the length from which a body is recorded as its length and hash.
const longBody = 16 << 10

// digest returns the form in which a body is recorded: the body itself, or the length
// and hash of a long one.
func digest(body string) string {
	if len(body) < longBody {
		return body
	}
	sum := sha256.Sum256([]byte(body))
	return strconv.Itoa(len(body)) + " bytes, " + hex.EncodeToString(sum[:])
}

// uploader uploads to one VM until ctx ends.
func (f *fleet) uploader(ctx context.Context, v *vm) {
	for ctx.Err() == nil {
		f.upload(ctx, v, smallestUpload+rand.IntN(largestUpload-smallestUpload), rand.Float64() < incompleteShare)
		pause(ctx, uploadEvery/2+rand.N(uploadEvery))
	}
}

// upload sends an unsafe request with its body in two parts, and a pause of up to stall
// between them. If incomplete is set, it does not send the second part but closes the
// connection, or only its sending side.
func (f *fleet) upload(ctx context.Context, v *vm, size int, incomplete bool) {
	conn, err := net.DialTimeout("tcp", v.at(portCustomerProxy), time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	body := uploadBytes[:size]
	s := sent{id: newID(), vm: v.number, at: time.Now(), method: http.MethodPost, path: pathFile, body: digest(body), unsafe: true, incomplete: incomplete, origin: v.upstream.service}
	s.path += s.id
	s.chooseTenant()
	add(f.record, &f.record.sent, s)
	_ = conn.SetDeadline(s.at.Add(stall + customerDeadline))
	reader := bufio.NewReader(conn)
	if _, err = conn.Write([]byte(head(s, size) + body[:size/2])); err == nil {
		pause(ctx, rand.N(stall))
		if !incomplete {
			_, _ = conn.Write([]byte(body[size/2:]))
		} else if rand.IntN(2) == 0 {
			_ = conn.(*net.TCPConn).CloseWrite()
		} else {
			return
		}
	}
	// A request that could not be sent completely may have a response too.
	add(f.record, &f.record.answers, readAnswer(reader, s.id, v.number, s.at))
}

// uploadBurst sends uploadsAtOnce concurrent uploads to one VM.
func (f *fleet) uploadBurst(ctx context.Context, v *vm) {
	var all sync.WaitGroup
	for range uploadsAtOnce {
		all.Go(func() { f.upload(ctx, v, largestUpload, false) })
	}
	all.Wait()
}

// incompleteUploadsDoNotRun checks that an upload with a part of its body missing never runs and
// never gets a successful response.
func (j *judgement) incompleteUploadsDoNotRun() {
	for _, s := range j.sent {
		if s.incomplete && executed(j.runsOf[s.id]) > 0 {
			j.add("half", "%s ran with a part of its body missing", s.id)
		}
	}
	for _, a := range j.answers {
		if j.requests[a.id].incomplete && a.success() {
			j.add("half", "%s is missing a part of its body and got %d", a.id, a.status)
		}
	}
}

// memoryLimit is a node's share of its VM's memory in bytes, as given in its settings.
const memoryLimit = 284 << 20

// usage is the resident memory of a process at a time.
type usage struct {
	vm    int
	at    time.Time
	bytes int64
}

const usageEvery = 100 * time.Millisecond

// watchMemory records the memory of a VM's process at each new maximum. It records
// nothing under the race detector, where a process takes several times as much memory.
func (f *fleet) watchMemory(ctx context.Context, v *vm) {
	if raceDetector {
		return
	}
	var most int64
	for ctx.Err() == nil {
		if now := v.resident(); now > most {
			most = now
			add(f.record, &f.record.usages, usage{vm: v.number, at: time.Now(), bytes: now})
		}
		pause(ctx, usageEvery)
	}
}

// resident returns the resident memory of the VM's process, or 0 if there is none.
func (v *vm) resident() int64 {
	v.mu.Lock()
	process := v.process
	v.mu.Unlock()
	if process == nil {
		return 0
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", process.Pid))
	if err != nil {
		return 0
	}
	var size, pages int64
	if _, err := fmt.Sscan(string(text), &size, &pages); err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}

// memoryIsBounded checks that a node's memory stays within its share under any load.
func (j *judgement) memoryIsBounded() {
	var most usage
	for _, u := range j.usages {
		if u.bytes > most.bytes {
			most = u
		}
	}
	if most.bytes > memoryLimit {
		j.add("memory", "VM %d had %d MiB at %s, its share is %d", most.vm, most.bytes>>20, most.at.Format(time.StampMilli), memoryLimit>>20)
	}
}
