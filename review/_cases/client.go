package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"
)

// client is a client's kept connection to a front.
type client struct {
	net.Conn
	reader *bufio.Reader
}

// dial connects a client; receiveBuffer bounds its receive buffer unless it is zero.
func dial(front string, receiveBuffer int) (*client, error) {
	d := net.Dialer{Timeout: time.Second}
	if receiveBuffer > 0 {
		d.Control = func(_, _ string, raw syscall.RawConn) error {
			var set error
			err := raw.Control(func(fd uintptr) {
				set = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
			})
			if err != nil {
				return err
			}
			return set
		}
	}
	conn, err := d.Dial("tcp", front)
	if err != nil {
		return nil, err
	}
	return &client{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// newAttempt returns a new attempt id.
func newAttempt() string {
	return fmt.Sprintf("%016x", rand.Uint64())
}

// send writes a request with a length.
func (c *client) send(method, target, attempt, headers, body string, deadline time.Duration) error {
	_, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%sContent-Length: %d\r\n\r\n%s",
		method, target, host, headerAttempt, attempt, headerDeadline, deadline.Milliseconds(), headers, len(body), body)
	return err
}

// receive reads a whole answer.
func (c *client) receive(method string, timeout time.Duration) (*http.Response, []byte, error) {
	_ = c.SetReadDeadline(time.Now().Add(timeout))
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(resp.Body)
	return resp, body, err
}

// do sends a request and reads its answer.
func (c *client) do(method, target, attempt, headers, body string, deadline time.Duration) (*http.Response, []byte, error) {
	if err := c.send(method, target, attempt, headers, body, deadline); err != nil {
		return nil, nil, err
	}
	return c.receive(method, deadline+time.Second)
}

// promptHeaders are those of a request to a model.
func promptHeaders(attempt string, prompt, most int) string {
	return fmt.Sprintf("X-Fuchsianotch-Model: m\r\nX-Fuchsianotch-Token-Count: %d,%d\r\nX-Fuchsianotch-Prompt-Prefix: %s:%d\r\n",
		prompt, most, attempt, prompt)
}

// maxRetryAfter is a third of the time that the clients of plain services have.
const maxRetryAfter = 1300 * time.Millisecond

// retryAfter returns how long an answer asks its client to wait.
func retryAfter(resp *http.Response) time.Duration {
	if resp == nil {
		return 0
	}
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return min(time.Duration(seconds*float64(time.Second)), maxRetryAfter)
}
