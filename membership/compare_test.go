package membership

import (
	"encoding/gob"
	"math"
	"math/rand/v2"
	"net/rpc"
	"testing"
)

// The types below model the protocols that were considered instead of the one in use.
// Ages and heartbeat counters spread alike: in each cycle every member exchanges its
// knowledge with one random other member. The protocols differ in the size of a message.

// agePing contains a complete age vector: one byte for each member of an ordered list,
// the digest of the list and a Lamport clock. ageReply contains only the ages that are
// newer by more than the laziness factor.
type agePing struct {
	From  string
	Clock uint64
	List  uint64
	Ages  []byte
}

type ageReply struct {
	Clock   uint64
	Indexes []uint16
	Ages    []byte
}

// heartbeats contains a complete list, sent in both directions.
type heartbeats struct {
	From string
	List []heartbeat
}

type heartbeat struct {
	ID    string
	Count uint64
}

type ageSim struct {
	rng   *rand.Rand
	ages  [][]int
	lazy  int
	loss  float64
	dead  int // index of the stopped member, or -1
	pings int
	reply int // number of entries in all replies
}

func newAgeSim(size int) *ageSim {
	s := &ageSim{rng: rand.New(rand.NewPCG(uint64(size), 3)), ages: make([][]int, size), dead: -1}
	s.lazy = int(math.Log2(float64(size)) / 4)
	for i := range s.ages {
		s.ages[i] = make([]int, size)
	}
	return s
}

func (s *ageSim) cycle() {
	for i, ages := range s.ages {
		for j := range ages {
			ages[j] = min(ages[j]+1, 255)
		}
		ages[i] = 0
	}
	for _, i := range s.rng.Perm(len(s.ages)) {
		j := (i + 1 + s.rng.IntN(len(s.ages)-1)) % len(s.ages)
		if i == s.dead || j == s.dead || s.rng.Float64() < s.loss {
			continue
		}
		s.pings++
		for k, age := range s.ages[i] {
			s.ages[j][k] = min(s.ages[j][k], age+1)
		}
		s.ages[j][j] = 0
		lost := s.rng.Float64() < s.loss
		for k, age := range s.ages[j] {
			if s.ages[i][k]-age <= max(1, s.lazy) {
				continue
			}
			s.reply++
			if !lost {
				s.ages[i][k] = age + 1
			}
		}
	}
}

// maxAge returns the highest age during some cycles, and how often a member's age
// exceeded threshold at another member.
func (s *ageSim) maxAge(cycles, threshold int) (highest, crossings int) {
	for range cycles {
		s.cycle()
		for _, ages := range s.ages {
			for _, age := range ages {
				highest = max(highest, age)
				if age == threshold+1 {
					crossings++
				}
			}
		}
	}
	return highest, crossings
}

// cyclesToDetect stops member 0 and returns the number of cycles until all other members
// consider it dead.
func (s *ageSim) cyclesToDetect(threshold int) int {
	s.dead = 0
	for cycles := 0; ; cycles++ {
		unaware := 0
		for _, ages := range s.ages[1:] {
			if ages[0] <= threshold {
				unaware++
			}
		}
		if unaware == 0 {
			return cycles
		}
		s.cycle()
	}
}

// encoded returns the length of a message on a connection that has already carried one of
// the same type.
func encoded(header, body any) int {
	var n counter
	enc := gob.NewEncoder(&n)
	for range 2 {
		n = 0
		enc.Encode(header)
		enc.Encode(body)
	}
	return int(n) + int(n)/segmentPayload*segmentHeader
}

// TestCompare prints the figures of the rejected protocols: bytes per node in and out at
// one exchange a second, on connections that are never reopened.
func TestCompare(t *testing.T) {
	request, response := &rpc.Request{ServiceMethod: rpcMethod, Seq: 1000}, &rpc.Response{ServiceMethod: rpcMethod, Seq: 1000}
	for _, size := range measuredSizes() {
		s := newAgeSim(size)
		log2Size := int(math.Log2(float64(size)))
		s.maxAge(50, log2Size)
		s.pings, s.reply = 0, 0
		calm, falseCalm := s.maxAge(60, log2Size)
		entries := s.reply / max(1, s.pings)
		s.loss = 0.05
		lossy, falseLossy := s.maxAge(60, log2Size)
		s.loss = 0
		s.maxAge(30, log2Size)
		atPaper := s.cyclesToDetect(log2Size)
		s.dead = -1
		s.maxAge(30, log2Size)
		atLossy := s.cyclesToDetect(lossy)
		id := string(make([]byte, 16))
		reply := ageReply{Clock: 1000, Ages: make([]byte, entries)}
		for i := range entries {
			reply.Indexes = append(reply.Indexes, uint16(i*size/entries))
		}
		ages := encoded(request, &agePing{From: id, Clock: 1000, List: 1 << 60, Ages: make([]byte, size)}) +
			encoded(response, &reply) + exchangeSegments*segmentHeader
		list := heartbeats{From: id}
		for range size {
			list.List = append(list.List, heartbeat{ID: id, Count: 100_000})
		}
		beats := encoded(request, &list) + encoded(response, &list) + exchangeSegments*segmentHeader
		t.Logf("size %d: age vectors %d B/s (%d entries in a lazy reply), heartbeat lists %d B/s; oldest age %d calm, %d at 5%% loss; at the threshold of log2 N = %d: %d and %d false deaths in 60 cycles; dead everywhere after %d cycles at that threshold, after %d at the lowest one without false deaths at 5%% loss",
			size, 2*ages, entries, 2*beats, calm, lossy, log2Size, falseCalm, falseLossy, atPaper, atLossy)
	}
}
