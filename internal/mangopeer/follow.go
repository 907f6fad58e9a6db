package mangopeer

import (
	"context"
	"net"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcconn"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// FollowStream is a stream of updates from a hub, on a connection of its own.
type FollowStream struct {
	conn   *drpcconn.Conn
	stream mangomessage.DRPCPeer_FollowClient
	cancel context.CancelFunc
}

// Follow opens a stream of updates from the peer at address. The end of ctx ends the stream.
func (c *Client) Follow(ctx context.Context, address string, request *mangomessage.FollowRequest) (*FollowStream, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, &Error{Op: "Follow", Kind: KindInvalid, Err: err}
	}
	dialCtx, stopDialing := context.WithTimeout(ctx, c.timeout)
	defer stopDialing()
	conn, err := (&net.Dialer{}).DialContext(dialCtx, "tcp", address)
	if err != nil {
		return nil, &Error{Op: "Follow", Kind: KindUnreachable, Err: err}
	}
	authenticated, err := c.handshake(dialCtx, conn, host)
	if err != nil {
		_ = conn.Close()
		return nil, &Error{Op: "Follow", Kind: KindUnauthenticated, Err: err}
	}
	rpc := drpcconn.NewWithOptions(&writeTimeoutConn{Conn: authenticated}, drpcconn.Options{Manager: managerOptions()})
	streamCtx, cancel := context.WithCancel(ctx)
	stream, err := mangomessage.NewDRPCPeerClient(rpc).Follow(streamCtx, request)
	if err != nil {
		cancel()
		_ = rpc.Close()
		return nil, &Error{Op: "Follow", Kind: KindRemote, Err: err}
	}
	return &FollowStream{conn: rpc, stream: stream, cancel: cancel}, nil
}

// Recv waits for the next update.
func (s *FollowStream) Recv() (*mangomessage.FollowUpdate, error) {
	u, err := s.stream.Recv()
	if err != nil {
		return nil, &Error{Op: "Recv", Kind: KindRemote, Err: err}
	}
	return u, nil
}

// Close ends the stream and closes its connection.
func (s *FollowStream) Close() {
	s.cancel()
	// The connection is not used again, whatever the error.
	_ = s.conn.Close()
}

// NoHub is the part of a Handler that refuses followers, for daemons that are never hubs.
type NoHub struct{}

// Follow implements Handler. It always fails.
func (NoHub) Follow(*mangomessage.FollowRequest, mangomessage.DRPCPeer_FollowStream) error {
	return &Error{Op: "Follow", Kind: KindRemote, Err: errors.New("this daemon has no followers")}
}
