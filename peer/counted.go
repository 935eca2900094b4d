package peer

import (
	"context"
	"path"
	"strings"

	"storj.io/drpc"
)

// CountMessage is told of the messages of one kind of call to another VM, in bytes.
// The kind is the call's name in snake case.
type CountMessage func(kind string, far bool, sent, received int)

// countedConn tells of the messages on a connection to another VM.
type countedConn struct {
	drpc.Conn
	// far says that the VM is in another region.
	far   bool
	count CountMessage
}

// Invoke makes a call with one message each way.
func (c *countedConn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	return c.Conn.Invoke(ctx, rpc, c.encoding(rpc, enc), in, out)
}

// NewStream begins a call with a stream of messages.
func (c *countedConn) NewStream(ctx context.Context, rpc string, enc drpc.Encoding) (drpc.Stream, error) {
	stream, err := c.Conn.NewStream(ctx, rpc, enc)
	if err != nil {
		return nil, err
	}
	return &countedStream{
		Stream: stream,
		conn:   c,
		rpc:    rpc,
	}, nil
}

func (c *countedConn) encoding(rpc string, enc drpc.Encoding) drpc.Encoding {
	return countedEncoding{
		Encoding: enc,
		conn:     c,
		kind:     kindOf(rpc),
	}
}

type countedStream struct {
	drpc.Stream
	conn *countedConn
	rpc  string
}

// MsgSend sends one message of the stream.
func (s *countedStream) MsgSend(msg drpc.Message, enc drpc.Encoding) error {
	return s.Stream.MsgSend(msg, s.conn.encoding(s.rpc, enc))
}

// MsgRecv receives one message of the stream.
func (s *countedStream) MsgRecv(msg drpc.Message, enc drpc.Encoding) error {
	return s.Stream.MsgRecv(msg, s.conn.encoding(s.rpc, enc))
}

// countedEncoding counts what it writes and reads.
type countedEncoding struct {
	drpc.Encoding
	conn *countedConn
	kind string
}

// Marshal writes a message.
func (e countedEncoding) Marshal(msg drpc.Message) ([]byte, error) {
	data, err := e.Encoding.Marshal(msg)
	e.conn.count(e.kind, e.conn.far, len(data), 0)
	return data, err
}

// Unmarshal reads a message.
func (e countedEncoding) Unmarshal(data []byte, msg drpc.Message) error {
	e.conn.count(e.kind, e.conn.far, 0, len(data))
	return e.Encoding.Unmarshal(data, msg)
}

// kindOf returns the name of a call: "/package.Peer/HandOver" is "hand_over".
func kindOf(rpc string) string {
	var b strings.Builder
	for i, r := range path.Base(rpc) {
		if r >= 'A' && r <= 'Z' && i > 0 {
			b.WriteByte('_')
		}
		b.WriteRune(r)
	}
	return strings.ToLower(b.String())
}
