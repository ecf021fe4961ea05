package node

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/rpc"
	"slices"
	"time"

	"pollengauge.dev/atmostonce"
	"pollengauge.dev/membership"
	"pollengauge.dev/observe"
)

// handoverPath is the path on which a peer listener accepts a hand-over of keys, as
// net/rpc over an HTTP connection.
const handoverPath = "/.pollengauge/handover"

// handoverService is the name under which handoverServer is registered with net/rpc.
const handoverService = "HandOver"

// HandoverReply carries a successor's refusal as a typed error. net/rpc would reduce a
// returned error to its text.
type HandoverReply struct{ Refused *atmostonce.InheritError }

func (r *HandoverReply) setError(err error) error {
	if err == nil {
		return nil
	}
	if errors.As(err, &r.Refused) {
		return nil
	}
	return err
}

// handoverServer receives the keys of a draining node.
type handoverServer struct{ node *Node }

// Stage is called by net/rpc. It stores one chunk of the keys until the commit.
func (s *handoverServer) Stage(chunk atmostonce.Chunk, reply *HandoverReply) error {
	if err := s.node.knownMember(chunk.From); err != nil {
		return err
	}
	return reply.setError(s.node.keys.Stage(context.Background(), chunk))
}

// Commit is called by net/rpc. Once it succeeds, this node announces to the members
// that it owns the inherited keys.
func (s *handoverServer) Commit(request atmostonce.CommitRequest, reply *HandoverReply) error {
	err := s.node.keys.Commit(context.Background(), request)
	if err == nil {
		s.node.log.Emit(observe.KeysInherited, observe.Str("from", string(request.From)))
		s.node.announceInherited()
	}
	return reply.setError(err)
}

// Abort is called by net/rpc.
func (s *handoverServer) Abort(request atmostonce.AbortRequest, reply *HandoverReply) error {
	return reply.setError(s.node.keys.Abort(context.Background(), request))
}

// newHandoverServer returns the RPC server behind handoverPath.
func newHandoverServer(n *Node) (*rpc.Server, error) {
	server := rpc.NewServer()
	if err := server.RegisterName(handoverService, &handoverServer{node: n}); err != nil {
		return nil, err
	}
	return server, nil
}

const (
	// handoverConnTimeout bounds the lifetime of one hand-over connection. The connection
	// carries one call, for which the sender allows handoverStep.
	handoverConnTimeout = 2 * handoverStep
	// maxHandoverBytes is enough for one chunk with one answer of the largest size.
	maxHandoverBytes = 8 << 20
)

// serveHandover switches a connection to net/rpc and bounds its lifetime and size.
// net/rpc has no such bounds: an unknown client could hold the connection forever, or
// make the decoder allocate a gigabyte with a single length prefix.
func (n *Node) serveHandover(w http.ResponseWriter, r *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		n.answerBadRequest(w, r, &MethodError{Method: http.MethodConnect})
		return
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(handoverConnTimeout)); err != nil {
		return
	}
	if _, err := io.WriteString(conn, "HTTP/1.0 200 Connected to Go RPC\n\n"); err != nil {
		return
	}
	n.handover.ServeConn(&boundedConn{Conn: conn, left: maxHandoverBytes})
}

// boundedConn is a connection from which at most left bytes can be read.
type boundedConn struct {
	net.Conn
	left int
}

// Read implements net.Conn.
func (c *boundedConn) Read(p []byte) (int, error) {
	if c.left <= 0 {
		return 0, io.ErrUnexpectedEOF
	}
	count, err := c.Conn.Read(p[:min(len(p), c.left)])
	c.left -= count
	return count, err
}

// knownMember rejects keys from a sender that is no known member of this node's
// service.
//
// Without this check, any client that reaches the peer port could hand over forged
// fates, and callers would get forged answers. Without TLS the check only stops clients
// that have not joined the gossip. A new member that is not known here yet can retry
// after the refusal.
func (n *Node) knownMember(from atmostonce.Incarnation) error {
	member, _, ok := n.gossip.Lookup(string(from))
	if ok && member.Service == n.settings.Service && string(from) != n.id {
		return nil
	}
	err := &UnknownMemberError{From: string(from)}
	n.log.Emit(observe.PeerRefused, observe.Err(err))
	return err
}

// announceInherited announces to the members which incarnations' keys this node has
// inherited.
func (n *Node) announceInherited() {
	var inherits []string
	for _, home := range n.keys.OwnedIncarnations() {
		if string(home) != n.id {
			inherits = append(inherits, string(home))
		}
	}
	slices.Sort(inherits)
	if err := n.gossip.Update(func(m *membership.Member) { m.Inherits = inherits }); err != nil {
		n.log.Emit(observe.HandoverFailed, observe.Err(err))
	}
}
