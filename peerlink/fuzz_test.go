package peerlink

import (
	"io"
	"net"
	"net/http"
	"testing"

	"pollengauge.dev/call"
)

// requestFrame and responseFrame are valid frames.
func requestFrame(stream uint32, body string) []byte {
	b := beginFrame(nil, frameRequest, stream)
	b, err := appendRequest(b, request(), int64(len(body)))
	if err != nil {
		panic(err)
	}
	b = append(b, body...)
	endFrame(b, 0, flagEnd)
	return b
}

func responseFrame(stream uint32, body string) []byte {
	b := beginFrame(nil, frameResponse, stream)
	b, err := appendResponse(b, &Response{Report: call.Report{Outcome: call.Complete}, Status: 200, Header: http.Header{"A": {"b"}}, Trailer: http.Header{"C": nil}})
	if err != nil {
		panic(err)
	}
	b = append(b, body...)
	endFrame(b, 0, flagEnd|flagTrailers)
	return b
}

// Guards against a payload of any kind that crashes a decoder, or that is accepted and can't
// be sent on.
func FuzzPayloads(f *testing.F) {
	f.Add(byte(frameRequest), byte(flagEnd), requestFrame(1, "body")[headerSize:])
	f.Add(byte(frameResponse), byte(flagEnd|flagTrailers), responseFrame(1, "body")[headerSize:])
	f.Add(byte(frameTrailer), byte(0), []byte{0, 0, 0, 4, 0, 0, 0, 0})
	f.Add(byte(frameWindow), byte(0), numberPayload(7))
	f.Fuzz(func(t *testing.T, typ, flags byte, b []byte) {
		switch frameType(typ) {
		case frameRequest:
			r, _, length, err := readRequest(b, flags)
			if err != nil {
				return
			}
			again, err := appendRequest(nil, r, length)
			if err != nil {
				t.Fatal(err)
			}
			if len(r.Trailer) > 0 {
				flags |= flagTrailers
			} else {
				flags &^= flagTrailers
			}
			if _, _, _, err := readRequest(again, flags); err != nil {
				t.Fatal(err)
			}
		case frameResponse:
			r, _, err := readResponse(b, flags)
			if err != nil {
				return
			}
			if _, err := appendResponse(nil, r); err != nil {
				t.Fatal(err)
			}
		case frameTrailer:
			h, err := readTrailer(b)
			for name, values := range h {
				if err != nil || !validName(name) || len(values) == 0 {
					t.Fatalf("%q", name)
				}
			}
		case frameWindow, frameGoAway:
			_, _ = readNumber(header{}, b)
		}
	})
}

// Guards against a sequence of frames that crashes the serving side, makes it wait for ever
// or makes it keep a call.
func FuzzServerConnection(f *testing.F) {
	cancel := appendFrame(nil, frameCancel, 0, 1, nil)
	f.Add(append(requestFrame(1, "body"), requestFrame(2, "")...))
	f.Add(append(requestFrame(1, "body"), cancel...))
	f.Add(appendFrame(requestFrame(1, ""), frameWindow, 0, 1, numberPayload(1)))
	f.Add(appendFrame(nil, framePing, 0, 0, nil))
	f.Fuzz(func(t *testing.T, b []byte) {
		s := NewServer(ServerConfig{Handler: echo, MaxHead: 4 << 10})
		near, far := net.Pipe()
		served := make(chan struct{})
		go func() {
			defer close(served)
			s.Serve(far, nil, nil)
		}()
		go func() { _, _ = io.Copy(io.Discard, near) }()
		_, _ = near.Write(b)
		_ = near.Close()
		<-served
		s.Close()
		if s.Stats().Conns.Load() != 0 {
			t.Fatal("connection is still counted")
		}
	})
}

// Guards against a sequence of frames that crashes the calling side, or leaves a call
// without a result.
func FuzzClientConnection(f *testing.F) {
	f.Add(responseFrame(1, "body"))
	f.Add(appendFrame(nil, frameGoAway, 0, 0, numberPayload(0)))
	f.Add(appendFrame(nil, frameRefused, 0, 1, nil))
	f.Add(appendFrame(responseFrame(1, ""), frameCancel, 0, 1, nil))
	f.Fuzz(func(t *testing.T, b []byte) {
		cl := NewClient(ClientConfig{})
		near, far := net.Pipe()
		c := &clientConn{client: cl, streams: make(map[uint32]*stream)}
		c.init(near, nil, &cl.stats, c.ended)
		go func() { c.failNow(c.read(nil, c.handle)) }()
		go func() { _, _ = io.Copy(io.Discard, far) }()
		s, err := c.start(request(), nil, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			_, _ = far.Write(b)
			_ = far.Close()
		}()
		if s == nil {
			return
		}
		resp, body, err := s.await(t.Context())
		if (resp == nil) == (err == nil) {
			t.Fatal("neither a response nor an error")
		}
		if err == nil {
			_, _ = io.Copy(io.Discard, body)
			_ = body.Close()
		}
	})
}
