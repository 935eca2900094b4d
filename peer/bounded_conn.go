package peer

import (
	"net"
	"sync"

	"github.com/fuchsianotch/fuchsianotch/common/bounded"
)

// maxBufferedBytes is the default of Options.MaxBufferedBytes: one message of the largest size,
// or some of a megabyte each, which are full lists of a large fleet.
const maxBufferedBytes = MaxMessageBytes + MaxMessageBytes/2 + 64<<10

// boundedConn bounds the messages that the connections of a client receive at a time. drpc
// buffers each up to MaxMessageBytes, so that a few hundred faulty peers fill the memory.
type boundedConn struct {
	net.Conn

	mu     sync.Mutex
	frames frameScanner
	share  bounded.Share
}

// Read implements net.Conn.
func (c *boundedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	unfinished := c.frames.scan(p[:n])
	if unfinished == 0 {
		c.share.Release()
		return n, err
	}
	if full := c.share.Reserve(unfinished, MaxMessageBytes); full != nil {
		return 0, full
	}
	return n, err
}

// Close implements net.Conn.
func (c *boundedConn) Close() error {
	c.mu.Lock()
	c.share.Release()
	c.mu.Unlock()
	return c.Conn.Close()
}

// Numbers of a frame's head: each frame has a control byte, the varints of stream, message and
// length, and as many bytes of data.
const (
	headControl = 0
	headLength  = 3
	doneBit     = 0b1
	moreBit     = 0b1000_0000
	varintBits  = 7
	maxShift    = 64
)

// frameScanner finds the ends of drpc messages, which consist of frames, in the bytes of a
// connection.
type frameScanner struct {
	// field is the part of the head that is read next.
	field  int
	done   bool
	length uint64
	shift  uint
	// data is the number of bytes of the frame that are still to come.
	data uint64
	// unfinished is the number of bytes of the message so far.
	unfinished int
}

// scan returns the size so far of the message that is incomplete after the bytes.
func (s *frameScanner) scan(p []byte) int {
	for len(p) > 0 {
		if s.data > 0 {
			n := int(min(s.data, uint64(len(p))))
			s.data -= uint64(n)
			s.unfinished += n
			p = p[n:]
		} else {
			s.scanHead(p[0])
			s.unfinished++
			p = p[1:]
		}
		if s.field == headControl && s.data == 0 && s.done {
			s.unfinished = 0
		}
	}
	return s.unfinished
}

// scanHead reads one byte of a frame's head.
func (s *frameScanner) scanHead(b byte) {
	if s.field == headControl {
		s.done = b&doneBit != 0
		s.length = 0
		s.shift = 0
		s.field++
		return
	}
	if s.field == headLength && s.shift < maxShift {
		s.length |= uint64(b&^moreBit) << s.shift
	}
	s.shift += varintBits
	if b&moreBit != 0 {
		return
	}
	s.shift = 0
	if s.field++; s.field > headLength {
		s.field = headControl
		s.data = s.length
	}
}
