//go:build !race

package soak

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The size of a crowd, and limits of the VMs that it attacks, for larger crowds by hand.
var (
	crowdSize        = flag.Int("crowd", 200, "clients of a crowd")
	crowdMemory      = flag.Int("crowd-memory", 128, "memory of each VM that a crowd attacks, in MiB")
	crowdDescriptors = flag.Int("crowd-descriptors", 1000, "descriptors of each VM that a crowd attacks")
)

// Limits of what the clients may send, and bounds of a crowd.
const (
	crowdHeaderBytes = 16 << 10
	crowdBodyBytes   = 1 << 20
	crowdTime        = 4 * time.Second
	// crowdLogBytes bounds what a VM's process logs meanwhile.
	crowdLogBytes = 4 << 20
)

// crowdTerms returns the terms of a fleet of VMs with little memory.
func crowdTerms() terms {
	t := fleetTerms(false, len(services))
	t.limits = vmLimits{memory: *crowdMemory << 20, descriptors: *crowdDescriptors, headerBytes: crowdHeaderBytes, bodyBytes: crowdBodyBytes}
	return t
}

// behaviour is what a client of a crowd does on one connection until sending fails.
type behaviour func(ctx context.Context, conn net.Conn) error

// crowd is a number of clients that behave alike and reconnect when they are cut off.
type crowd struct {
	behaviour behaviour
	// port is the port of the VM that the clients connect to.
	port string
	size int
	// everywhere is set for clients that attack all VMs but the last one.
	everywhere bool
	// stays is set for clients that are still there when the ordinary request is sent.
	stays bool
}

// playCrowd lets a crowd attack the first VM of a fleet, and checks that all processes live,
// stay within their memory and descriptors, and answer an ordinary request.
func playCrowd(t *testing.T, of crowd) {
	c := qt.New(t)
	f, err := newFleet(t.Context(), c.TempDir(), len(services), crowdTerms())
	defer f.close()
	c.Assert(err, qt.IsNil)
	v := f.vms[0]
	c.Assert(f.askOrdinarily(t.Context(), v), qt.IsNil, qt.Commentf("before the crowd"))
	ctx, end := context.WithCancel(t.Context())
	defer end()
	watch := f.watchCrowd(ctx)
	var clients sync.WaitGroup
	attacked := f.vms[:1]
	if of.everywhere {
		attacked = f.vms[:len(f.vms)-1]
	}
	for _, v := range attacked {
		for range of.size {
			clients.Go(func() { attack(ctx, v.at(of.port), of.behaviour) })
		}
	}
	pause(ctx, crowdTime)
	if !of.stays {
		end()
		clients.Wait()
	}
	if !c.Check(f.askOrdinarily(t.Context(), v), qt.IsNil, qt.Commentf("an ordinary request")) {
		f.logOrdinary(c)
	}
	end()
	clients.Wait()
	for i, most := range watch() {
		c.Logf("VM %d: %d MiB, %d descriptors, log of %d KiB", i, most.memory>>20, most.descriptors, most.log>>10)
		c.Check(most.memory <= int64(*crowdMemory)<<20, qt.IsTrue, qt.Commentf("VM %d: %d MiB", i, most.memory>>20))
		c.Check(most.descriptors <= int64(*crowdDescriptors), qt.IsTrue, qt.Commentf("VM %d: %d descriptors", i, most.descriptors))
		c.Check(most.log <= crowdLogBytes, qt.IsTrue, qt.Commentf("VM %d: log of %d KiB", i, most.log>>10))
	}
	c.Check(f.record.exits, qt.HasLen, 0)
	c.Check(f.logs(), qt.HasLen, 0)
	c.Check(f.failed, qt.IsNil)
}

// askOrdinarily waits until the VM answers an ordinary request.
func (f *fleet) askOrdinarily(ctx context.Context, v *vm) error {
	return await(ctx, func() bool {
		client := directClient()
		defer client.CloseIdleConnections()
		s := sent{id: newID(), vm: v.number, at: time.Now(), method: "GET", origin: v.upstream.service, key: tenantsOf(1)[0].keys[0]}
		s.path = pathBrowse + s.id
		return f.exchange(ctx, v, client, s, customerDeadline).success()
	})
}

// logOrdinary logs how often the ordinary requests ended in each way.
func (f *fleet) logOrdinary(c *qt.C) {
	f.record.mu.Lock()
	defer f.record.mu.Unlock()
	ends := make(map[string]int)
	for _, a := range f.record.answers {
		if !strings.Contains(a.id, ".") {
			ends[fmt.Sprintf("%d %s after %d00 ms", a.status, a.failure, a.took/(100*time.Millisecond))]++
		}
	}
	c.Logf("%v", ends)
}

// attack runs one client of a crowd until ctx ends.
func attack(ctx context.Context, addr string, behave behaviour) {
	for ctx.Err() == nil {
		conn, err := net.DialTimeout("tcp", addr, time.Second)
		if err != nil {
			pause(ctx, 10*time.Millisecond)
			continue
		}
		stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
		_ = behave(ctx, conn)
		stop()
		_ = conn.Close()
	}
}

// peak is the most that a process has used.
type peak struct{ memory, descriptors, log int64 }

// watchCrowd measures the processes of all VMs until ctx ends. The function that it returns
// returns the peaks.
func (f *fleet) watchCrowd(ctx context.Context) func() []peak {
	peaks := make([]peak, len(f.vms))
	var watches sync.WaitGroup
	for i, v := range f.vms {
		watches.Go(func() {
			for ctx.Err() == nil {
				peaks[i].memory = max(peaks[i].memory, v.highestResident())
				peaks[i].descriptors = max(peaks[i].descriptors, v.openDescriptors())
				pause(ctx, 20*time.Millisecond)
			}
			peaks[i].memory = max(peaks[i].memory, v.highestResident())
			if info, err := os.Stat(v.log); err == nil {
				peaks[i].log = info.Size()
			}
		})
	}
	return func() []peak { watches.Wait(); return peaks }
}

// highestResident returns the highest resident memory that the VM's process has had, in bytes,
// 0 if there is no process.
func (v *vm) highestResident() int64 {
	text, err := os.ReadFile(v.procPath("status"))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), "VmHWM:")
	value, _, _ := strings.Cut(strings.TrimSpace(rest), " ")
	kilobytes, _ := strconv.ParseInt(value, 10, 64)
	return kilobytes << 10
}

func (v *vm) openDescriptors() int64 {
	entries, err := os.ReadDir(v.procPath("fd"))
	if err != nil {
		return 0
	}
	return int64(len(entries))
}

// procPath returns the path of a file that describes the VM's process.
func (v *vm) procPath(name string) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process == nil {
		return ""
	}
	return filepath.Join("/proc", strconv.Itoa(v.process.Pid), name)
}

// blockSize is about the number of bytes that a client sends at once.
const blockSize = 16 << 10

// endless sends first, and then further pieces without end, which next returns by their number.
func endless(first string, next func(i int) string) behaviour {
	return func(ctx context.Context, conn net.Conn) error {
		go drain(conn)
		if _, err := io.WriteString(conn, first); err != nil {
			return err
		}
		var block strings.Builder
		for i := 0; ctx.Err() == nil; {
			block.Reset()
			for block.Len() < blockSize {
				block.WriteString(next(i))
				i++
			}
			if _, err := io.WriteString(conn, block.String()); err != nil {
				return err
			}
		}
		return nil
	}
}

// drain reads and drops what arrives on a connection.
func drain(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }

// silent sends text and then waits for the end of the connection.
func silent(text func() string) behaviour {
	return func(_ context.Context, conn net.Conn) error {
		if _, err := io.WriteString(conn, text()); err != nil {
			return err
		}
		drain(conn)
		return nil
	}
}

// pipelined sends requests one behind another and reads the responses.
func pipelined(request func() string) behaviour {
	return func(ctx context.Context, conn net.Conn) error {
		go drain(conn)
		return sendAll(ctx, conn, request)
	}
}

func sendAll(ctx context.Context, conn net.Conn, request func() string) error {
	for ctx.Err() == nil {
		if _, err := io.WriteString(conn, request()); err != nil {
			return err
		}
	}
	return nil
}

// openHead returns the head of a request without its last line.
func openHead(method, path string) string {
	s := sent{id: newID(), method: method, path: path, key: tenantsOf(1)[0].keys[0]}
	return strings.TrimSuffix(head(s, 0), "Content-Length: 0\r\n\r\n")
}

// fullHead returns an open head filled up with fields to just under the limit of heads.
func fullHead(method string, field func(i int) string) string {
	const room = 64 // for the last lines
	var text strings.Builder
	text.WriteString(openHead(method, pathBrowse))
	for i := 0; text.Len()+len(field(i))+room < crowdHeaderBytes; i++ {
		text.WriteString(field(i))
	}
	return text.String()
}

func shortField(i int) string { return fmt.Sprintf("f%x:1\r\n", i) }

func repeatedField(int) string { return "a:\r\n" }

// Guards against a process that runs out of memory by heads without end.
func TestCrowdSendsEndlessHeads(t *testing.T) {
	playCrowd(t, crowd{behaviour: endless(openHead("GET", pathBrowse), shortField), port: portOutbound, size: *crowdSize})
}

// Guards against heads without end at the address for calls of other nodes.
func TestCrowdSendsEndlessHeadsToInbound(t *testing.T) {
	playCrowd(t, crowd{behaviour: endless(openHead("GET", pathBrowse), shortField), port: portInbound, size: *crowdSize})
}

// Guards against heads without end at the address for questions of readiness.
func TestCrowdSendsEndlessHeadsToReady(t *testing.T) {
	playCrowd(t, crowd{behaviour: endless(openHead("GET", "/-/ready"), shortField), port: portReady, size: *crowdSize})
}

// Guards against heads without end at the address for heartbeats.
func TestCrowdSendsEndlessHeadsToControl(t *testing.T) {
	playCrowd(t, crowd{behaviour: endless(openHead("POST", "/-/Instances.Heartbeat/i"), shortField), port: portControl, size: *crowdSize})
}

// Guards against heads without end at the port of the metrics.
func TestCrowdSendsEndlessHeadsToMetrics(t *testing.T) {
	playCrowd(t, crowd{behaviour: endless(openHead("GET", "/metrics"), shortField), port: portMetrics, size: *crowdSize})
}

// Guards against heads without end at the port for operators.
func TestCrowdSendsEndlessHeadsToAdmin(t *testing.T) {
	playCrowd(t, crowd{behaviour: endless(openHead("GET", "/v1/status"), shortField), port: portAdmin, size: *crowdSize})
}

// Guards against heads without end at the port for membership.
func TestCrowdSendsEndlessHeadsToGossip(t *testing.T) {
	playCrowd(t, crowd{behaviour: endless(openHead("GET", "/"), shortField), port: strconv.Itoa(portGossip), size: *crowdSize})
}

// mixed lets each connection behave like the next of the behaviours.
func mixed(behaviours ...behaviour) behaviour {
	var next atomic.Int64
	return func(ctx context.Context, conn net.Conn) error {
		return behaviours[int(next.Add(1))%len(behaviours)](ctx, conn)
	}
}

// strangers behave as clients outside the limits do at outbound, at any other address.
func strangers() behaviour {
	empty := func(int) string { return "\r\n" }
	letters := func(int) string { return "xxxxxxxx" }
	return mixed(
		pipelined(func() string { return fullHead("GET", shortField) + "\r\n" }),
		pipelined(func() string { return fullHead("GET", repeatedField) + "\r\n" }),
		silent(func() string { return fullHead("GET", shortField) }),
		silent(func() string { return fullHead("POST", shortField) + "Transfer-Encoding: chunked\r\n\r\n" }),
		endless("", empty), endless(openHead("GET", pathBrowse)+"\r\n", empty),
		endless("GET /", letters), endless(openHead("GET", pathBrowse)+"X: ", letters),
	)
}

// Guards against a process that fails by empty lines without end, lines without end, or heads of
// legal size with very many fields, at the address for calls of other nodes.
func TestCrowdOfStrangersAtInbound(t *testing.T) {
	playCrowd(t, crowd{behaviour: strangers(), port: portInbound, size: *crowdSize})
}

// Guards against the same at the address for questions of readiness.
func TestCrowdOfStrangersAtReady(t *testing.T) {
	playCrowd(t, crowd{behaviour: strangers(), port: portReady, size: *crowdSize})
}

// Guards against the same at the address for heartbeats.
func TestCrowdOfStrangersAtControl(t *testing.T) {
	playCrowd(t, crowd{behaviour: strangers(), port: portControl, size: *crowdSize})
}

// Guards against the same at the port of the metrics.
func TestCrowdOfStrangersAtMetrics(t *testing.T) {
	playCrowd(t, crowd{behaviour: strangers(), port: portMetrics, size: *crowdSize})
}

// Guards against the same at the port for operators.
func TestCrowdOfStrangersAtAdmin(t *testing.T) {
	playCrowd(t, crowd{behaviour: strangers(), port: portAdmin, size: *crowdSize})
}

// Guards against the same at the port for membership.
func TestCrowdOfStrangersAtGossip(t *testing.T) {
	playCrowd(t, crowd{behaviour: strangers(), port: strconv.Itoa(portGossip), size: *crowdSize})
}

// Guards against a field line without end that is kept in memory.
func TestCrowdSendsEndlessFieldLines(t *testing.T) {
	playCrowd(t, crowd{behaviour: endless(openHead("GET", pathBrowse)+"X: ", func(int) string { return "xxxxxxxx" }), port: portOutbound, size: *crowdSize})
}

// Guards against a request line without end that is kept in memory.
func TestCrowdSendsEndlessRequestLines(t *testing.T) {
	playCrowd(t, crowd{behaviour: endless("GET /", func(int) string { return "xxxxxxxx" }), port: portOutbound, size: *crowdSize})
}

// Guards against empty lines without end in place of a request, and a log line for each refusal.
func TestCrowdSendsEndlessEmptyLines(t *testing.T) {
	playCrowd(t, crowd{behaviour: endless("", func(int) string { return "\r\n" }), port: portOutbound, size: *crowdSize})
}

// Guards against empty lines without end behind a request.
func TestCrowdSendsEndlessEmptyLinesBehindARequest(t *testing.T) {
	playCrowd(t, crowd{behaviour: endless(openHead("GET", pathBrowse)+"\r\n", func(int) string { return "\r\n" }), port: portOutbound, size: *crowdSize})
}

// Guards against a process that runs out of memory by heads of legal size with very many fields.
func TestCrowdSendsHeadsOfManyFields(t *testing.T) {
	playCrowd(t, crowd{behaviour: pipelined(func() string { return fullHead("GET", shortField) + "\r\n" }), port: portOutbound, size: *crowdSize})
}

// Guards against the memory of heads of legal size that repeat a field very often.
func TestCrowdSendsHeadsOfOneRepeatedField(t *testing.T) {
	playCrowd(t, crowd{behaviour: pipelined(func() string { return fullHead("GET", repeatedField) + "\r\n" }), port: portOutbound, size: *crowdSize})
}

// Guards against a process that fails by heads of legal size whose lines are odd: folded, empty of a
// name or a value, without a colon, with bytes that no field has.
func TestCrowdSendsOddFields(t *testing.T) {
	kinds := []string{" f\r\n", "\t\r\n", "f:\n", ":\r\n", "f\r\n", "f f: 1\r\n", "\x01: 1\r\n", "f: \x00\r\n", "\xff\xfe: 1\r\n", "f: \r\r\n"}
	var next atomic.Int64
	text := func() string {
		kind := kinds[int(next.Add(1))%len(kinds)]
		return fullHead("GET", func(int) string { return kind }) + "\r\n"
	}
	playCrowd(t, crowd{behaviour: pipelined(text), port: portOutbound, size: *crowdSize})
}

// Guards against the memory of unrepeatable requests of legal size with very many fields, which
// are not started before their turn.
func TestCrowdSendsUnsafeHeadsOfManyFields(t *testing.T) {
	text := func() string {
		return strings.Replace(fullHead("POST", shortField), pathBrowse, pathFile, 1) + "Content-Length: 0\r\n\r\n"
	}
	playCrowd(t, crowd{behaviour: pipelined(text), port: portOutbound, size: *crowdSize})
}

// Guards against a process that runs out of memory by what others forward: heads of legal size with
// very many fields.
func TestCrowdSendsHeadsOfManyFieldsToManyVMs(t *testing.T) {
	text := func() string { return strings.Replace(fullHead("GET", shortField), pathBrowse, pathLook, 1) + "\r\n" }
	playCrowd(t, crowd{behaviour: pipelined(text), port: portOutbound, size: *crowdSize, everywhere: true})
}

// Guards against the memory of heads of legal size whose last line never comes.
func TestCrowdNeverEndsItsHeads(t *testing.T) {
	playCrowd(t, crowd{behaviour: silent(func() string { return fullHead("GET", shortField) }), port: portOutbound, size: *crowdSize})
}

// Guards against the memory of requests of legal size whose body never comes.
func TestCrowdNeverSendsItsBodies(t *testing.T) {
	text := func() string { return fullHead("POST", shortField) + "Transfer-Encoding: chunked\r\n\r\n" }
	playCrowd(t, crowd{behaviour: silent(text), port: portOutbound, size: *crowdSize})
}

// Guards against trailers without end.
func TestCrowdSendsEndlessTrailers(t *testing.T) {
	first := openHead("POST", pathFile) + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n"
	playCrowd(t, crowd{behaviour: endless(first, shortField), port: portOutbound, size: *crowdSize})
}

// Guards against a chunk extension without end.
func TestCrowdSendsEndlessChunkExtensions(t *testing.T) {
	first := openHead("POST", pathFile) + "Transfer-Encoding: chunked\r\n\r\n1;"
	playCrowd(t, crowd{behaviour: endless(first, func(int) string { return "xxxxxxxx" }), port: portOutbound, size: *crowdSize})
}

// Guards against the cost of bodies in chunks of one byte.
func TestCrowdSendsChunksOfOneByte(t *testing.T) {
	text := func() string {
		return openHead("POST", pathFile) + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\na\r\n", 4<<10) + "0\r\n\r\n"
	}
	playCrowd(t, crowd{behaviour: pipelined(text), port: portOutbound, size: *crowdSize})
}

// Guards against the memory of many bodies of legal size at once.
func TestCrowdSendsLargeBodies(t *testing.T) {
	text := func() string {
		return openHead("POST", pathFile) + fmt.Sprintf("Content-Length: %d\r\n\r\n", crowdBodyBytes) + uploadBytes[:crowdBodyBytes]
	}
	playCrowd(t, crowd{behaviour: pipelined(text), port: portOutbound, size: *crowdSize})
}

// Guards against the memory of responses to clients that read nothing.
func TestCrowdReadsNoResponses(t *testing.T) {
	unread := func(ctx context.Context, conn net.Conn) error {
		return sendAll(ctx, conn, func() string { return openHead("GET", pathBrowse+longAnswerPart) + "\r\n" })
	}
	playCrowd(t, crowd{behaviour: unread, port: portOutbound, size: *crowdSize})
}

// Guards against ordinary clients that are shut out by connections on which nothing is sent, more
// than the process may have.
func TestCrowdStaysSilent(t *testing.T) {
	playCrowd(t, crowd{behaviour: silent(func() string { return "" }), port: portOutbound, size: 2 * *crowdSize, stays: true})
}

// Guards against ordinary clients that are shut out by connections that each send a head a byte at
// a time.
func TestCrowdSendsByteAfterByte(t *testing.T) {
	slowly := func(ctx context.Context, conn net.Conn) error {
		text := openHead("GET", pathBrowse)
		for i := range len(text) {
			if _, err := io.WriteString(conn, text[i:i+1]); err != nil || ctx.Err() != nil {
				return err
			}
			pause(ctx, 100*time.Millisecond)
		}
		return nil
	}
	playCrowd(t, crowd{behaviour: slowly, port: portOutbound, size: 2 * *crowdSize, stays: true})
}

// Guards against ordinary clients that are shut out by requests whose bodies never come, more than
// the process may have connections.
func TestCrowdHoldsRequestsOpen(t *testing.T) {
	text := func() string { return openHead("POST", pathFile) + "Content-Length: 5\r\n\r\n" }
	playCrowd(t, crowd{behaviour: silent(text), port: portOutbound, size: 2 * *crowdSize, stays: true})
}

// Guards against a process that fails by bytes of other protocols.
func TestCrowdSpeaksOtherProtocols(t *testing.T) {
	foreign := []string{
		"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" + strings.Repeat("\x00", 500), // a TLS handshake
		"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + strings.Repeat("\x00\x00\x00\x04\x00\x00\x00\x00\x00", 100),
		"GET /browse/\r\n", "GET " + pathBrowse + " HTTP/1.0\r\n\r\n", "EHLO x\r\n", strings.Repeat("\n\x00", 1000),
		"GET " + pathBrowse + " HTTP/1.1\r\nHost: x\r\nno colon\r\n\r\n", "GET " + pathBrowse + " HTTP/1.1\r\n Host: x\r\n\r\n",
	}
	var next atomic.Int64
	text := func() string { return foreign[int(next.Add(1))%len(foreign)] }
	playCrowd(t, crowd{behaviour: silent(text), port: portOutbound, size: *crowdSize})
}

// Guards against ordinary clients that are shut out by requests of legal size that are sent as fast
// as the process answers.
func TestCrowdLeavesRoomForOrdinaryClients(t *testing.T) {
	playCrowd(t, crowd{behaviour: pipelined(func() string { return fullHead("GET", shortField) + "\r\n" }), port: portOutbound, size: *crowdSize, stays: true})
}

// Guards against the refusal of a request inside the limits: its head is counted as it was sent.
func TestHeadsInsideTheLimitAreServed(t *testing.T) {
	c := qt.New(t)
	f, err := newFleet(t.Context(), c.TempDir(), len(services), crowdTerms())
	defer f.close()
	c.Assert(err, qt.IsNil)
	v := f.vms[0]
	c.Assert(f.askOrdinarily(t.Context(), v), qt.IsNil)
	for _, field := range []func(int) string{shortField, repeatedField} {
		conn, err := net.DialTimeout("tcp", v.at(portOutbound), time.Second)
		c.Assert(err, qt.IsNil)
		_, err = io.WriteString(conn, fullHead("GET", field)+"\r\n")
		c.Assert(err, qt.IsNil)
		status := make([]byte, len("HTTP/1.1 200"))
		_, _ = io.ReadFull(conn, status)
		c.Check(string(status), qt.Equals, "HTTP/1.1 200")
		_ = conn.Close()
	}
}
