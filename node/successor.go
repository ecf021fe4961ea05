package node

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/rpc"
	"time"

	"pollengauge.dev/atmostonce"
)

// handoverStep bounds one message of a hand-over, including its response.
const handoverStep = 5 * time.Second

// successor sends the messages of a hand-over to one node.
type successor struct {
	node *Node
	addr string
}

// Stage implements atmostonce.Successor.
func (s *successor) Stage(ctx context.Context, chunk atmostonce.Chunk) error {
	return s.call(ctx, "Stage", chunk)
}

// Commit implements atmostonce.Successor.
func (s *successor) Commit(ctx context.Context, request atmostonce.CommitRequest) error {
	return s.call(ctx, "Commit", request)
}

// Abort implements atmostonce.Successor.
func (s *successor) Abort(ctx context.Context, request atmostonce.AbortRequest) error {
	return s.call(ctx, "Abort", request)
}

// call makes one RPC on a connection of its own. net/rpc has no deadlines, so the
// connection's deadline ends the call instead.
func (s *successor) call(ctx context.Context, method string, request any) error {
	ctx, cancel := context.WithTimeout(ctx, handoverStep)
	defer cancel()
	client, err := s.dial(ctx)
	if err != nil {
		return err
	}
	defer func() { _ = client.Close() }()
	var reply HandoverReply
	if err := client.Call(handoverService+"."+method, request, &reply); err != nil {
		return err
	}
	if reply.Refused != nil {
		return reply.Refused
	}
	return nil
}

func (s *successor) dial(ctx context.Context) (*rpc.Client, error) {
	conn, err := s.node.peerNetwork.Dial(ctx, s.addr)
	if err != nil {
		return nil, err
	}
	if err := openRPC(ctx, conn); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return rpc.NewClient(conn), nil
}

// openRPC asks the peer listener to switch the connection to net/rpc.
func openRPC(ctx context.Context, conn net.Conn) error {
	if deadline, ok := ctx.Deadline(); ok {
		if err := conn.SetDeadline(deadline); err != nil {
			return err
		}
	}
	if _, err := conn.Write([]byte("CONNECT " + handoverPath + " HTTP/1.0\n\n")); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReaderSize(conn, 1), &http.Request{Method: http.MethodConnect})
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return &HandoverRefusedError{Status: resp.StatusCode}
	}
	return nil
}

// HandoverRefusedError reports that a peer did not accept a hand-over connection.
type HandoverRefusedError struct{ Status int }

// Error implements error.
func (e *HandoverRefusedError) Error() string {
	return "peer refused the hand-over with status " + http.StatusText(e.Status)
}
