package peer

import (
	"context"
	"path"
	"strings"

	"storj.io/drpc"
	"storj.io/drpc/drpcenc"
)

// CountMessage records the sizes in bytes of messages sent and received. method
// is in snake case; crossRegion is set for a VM of another region.
type CountMessage func(method string, crossRegion bool, sent, received int)

// messageCountingConn counts the messages of a connection by method.
type messageCountingConn struct {
	drpc.Conn
	// crossRegion is set if the VM is in another region.
	crossRegion bool
	count       CountMessage
}

// Invoke makes a unary call.
func (c *messageCountingConn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	return c.Conn.Invoke(ctx, rpc, c.encoding(rpc, enc), in, out)
}

// NewStream starts a streaming call.
func (c *messageCountingConn) NewStream(ctx context.Context, rpc string, enc drpc.Encoding) (drpc.Stream, error) {
	stream, err := c.Conn.NewStream(ctx, rpc, enc)
	if err != nil {
		return nil, err
	}
	return &messageCountingStream{
		Stream: stream,
		conn:   c,
		rpc:    rpc,
	}, nil
}

func (c *messageCountingConn) encoding(rpc string, enc drpc.Encoding) drpc.Encoding {
	return countingEncoding{
		Encoding: enc,
		conn:     c,
		method:   methodName(rpc),
	}
}

type messageCountingStream struct {
	drpc.Stream
	conn *messageCountingConn
	rpc  string
}

// MsgSend sends one message of the stream.
func (s *messageCountingStream) MsgSend(msg drpc.Message, enc drpc.Encoding) error {
	return s.Stream.MsgSend(msg, s.conn.encoding(s.rpc, enc))
}

// MsgRecv receives one message of the stream.
func (s *messageCountingStream) MsgRecv(msg drpc.Message, enc drpc.Encoding) error {
	return s.Stream.MsgRecv(msg, s.conn.encoding(s.rpc, enc))
}

// countingEncoding counts the bytes of messages that it encodes and decodes.
type countingEncoding struct {
	drpc.Encoding
	conn   *messageCountingConn
	method string
}

// Marshal encodes and counts a message.
func (e countingEncoding) Marshal(msg drpc.Message) ([]byte, error) {
	data, err := e.Encoding.Marshal(msg)
	e.conn.count(e.method, e.conn.crossRegion, len(data), 0)
	return data, err
}

// MarshalAppend appends an encoded message and counts it.
func (e countingEncoding) MarshalAppend(buf []byte, msg drpc.Message) ([]byte, error) {
	data, err := drpcenc.MarshalAppend(msg, e.Encoding, buf)
	if err == nil {
		e.conn.count(e.method, e.conn.crossRegion, len(data)-len(buf), 0)
	}
	return data, err
}

// Unmarshal counts and decodes a message.
func (e countingEncoding) Unmarshal(data []byte, msg drpc.Message) error {
	e.conn.count(e.method, e.conn.crossRegion, 0, len(data))
	return e.Encoding.Unmarshal(data, msg)
}

// methodName returns a method's name in snake case: "/package.Peer/HandOver" becomes
// "hand_over".
func methodName(rpc string) string {
	var b strings.Builder
	for i, r := range path.Base(rpc) {
		if r >= 'A' && r <= 'Z' && i > 0 {
			b.WriteByte('_')
		}
		b.WriteRune(r)
	}
	return strings.ToLower(b.String())
}
