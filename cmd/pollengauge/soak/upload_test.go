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

// Habits of customers that upload.
const (
	smallestUpload = 64 << 10
	largestUpload  = 1 << 20
	uploadEvery    = 400 * time.Millisecond
	// halfShare of the uploads break off halfway.
	halfShare = 0.4
	stall     = 500 * time.Millisecond
	// uploadsAtOnce is how many a burst brings to one VM.
	uploadsAtOnce = 200
)

// uploadBytes are what all uploads send a part of.
var uploadBytes = strings.Repeat("0123456789abcdef", largestUpload/16)

// longBody is from where a body is recorded as its hash.
const longBody = 16 << 10

// digest returns what the record keeps of a body.
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
		f.upload(ctx, v, smallestUpload+rand.IntN(largestUpload-smallestUpload), rand.Float64() < halfShare)
		pause(ctx, uploadEvery/2+rand.N(uploadEvery))
	}
}

// upload sends an unrepeatable request whose body comes in two parts. With half
// set the second does not come: after a stall the connection ends.
func (f *fleet) upload(ctx context.Context, v *vm, size int, half bool) {
	conn, err := net.DialTimeout("tcp", v.at(portCustomerProxy), time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	body := uploadBytes[:size]
	s := sent{id: newID(), vm: v.number, at: time.Now(), method: http.MethodPost, path: pathFile, body: digest(body), unsafe: true, half: half, origin: v.upstream.service}
	s.path += s.id
	s.chooseTenant()
	add(f.record, &f.record.sent, s)
	_ = conn.SetDeadline(s.at.Add(stall + customerDeadline))
	reader := bufio.NewReader(conn)
	if _, err = conn.Write([]byte(head(s, size) + body[:size/2])); err == nil {
		pause(ctx, rand.N(stall))
		if !half {
			_, _ = conn.Write([]byte(body[size/2:]))
		} else if rand.IntN(2) == 0 {
			_ = conn.(*net.TCPConn).CloseWrite()
		} else {
			return
		}
	}
	// Also one that could not be sent whole may have an answer.
	add(f.record, &f.record.answers, readAnswer(reader, s.id, v.number, s.at))
}

// uploadBurst uploads many times at once to one VM.
func (f *fleet) uploadBurst(ctx context.Context, v *vm) {
	var all sync.WaitGroup
	for range uploadsAtOnce {
		all.Go(func() { f.upload(ctx, v, largestUpload, false) })
	}
	all.Wait()
}

// halvesDoNotRun: an upload of which a half is missing is never run, nor
// answered as if it were.
func (j *judgement) halvesDoNotRun() {
	for _, s := range j.sent {
		if s.half && executed(j.runsOf[s.id]) > 0 {
			j.add("half", "%s ran with a part of its body missing", s.id)
		}
	}
	for _, a := range j.answers {
		if j.asked[a.id].half && a.success() {
			j.add("half", "%s is missing a part of its body and got %d", a.id, a.status)
		}
	}
}

// memoryLimit is a node's share of its VM's memory, as its settings say.
const memoryLimit = 284 << 20

// usage is the memory that a process had resident.
type usage struct {
	vm    int
	at    time.Time
	bytes int64
}

const usageEvery = 100 * time.Millisecond

// watchMemory records the memory of a VM's process whenever it has grown. Under
// the race detector memory tells nothing: it takes several times as much.
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

// resident is the memory of the VM's process, 0 where there is none.
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

// memoryIsBounded: whatever comes in, a node stays within its share.
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
