package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// client is a caller with one kept connection.
type client struct {
	trial *trial
	host  string
	conn  net.Conn
	read  *bufio.Reader
}

func (t *trial) dial(addr, host string) (*client, error) {
	conn, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return nil, err
	}
	return &client{
		trial: t,
		host:  host,
		conn:  conn,
		read:  bufio.NewReader(conn),
	}, nil
}

// request is one attempt of a client.
type request struct {
	id, method, path string
	body             string
	deadline         time.Duration
	// last is the id of the last event of the stream to resume; empty for none.
	last string
}

// send writes a request.
func (c *client) send(r request) error {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n", r.method, r.path, c.host, headerAttempt, r.id, headerDeadline, r.deadline.Milliseconds(), len(r.body))
	if r.last != "" {
		text += headerLast + ": " + r.last + "\r\n"
	}
	c.trial.note("client sends %s: %s %s", r.id, r.method, r.path)
	_, err := io.WriteString(c.conn, text+"\r\n"+r.body)
	return err
}

// answer is what a client has received for a request.
type answer struct {
	status int
	stamp  string
	body   string
	// whole is set if the answer has ended as complete.
	whole bool
}

// receive reads the answer to a request.
func (c *client) receive(r request, timeout time.Duration) (answer, error) {
	_ = c.conn.SetReadDeadline(time.Now().Add(timeout))
	resp, err := http.ReadResponse(c.read, nil)
	if err != nil {
		c.trial.note("client has no answer to %s: %v", r.id, err)
		return answer{}, err
	}
	data, err := io.ReadAll(resp.Body)
	a := answer{
		status: resp.StatusCode,
		stamp:  resp.Header.Get(headerStamp),
		body:   string(data),
		whole:  err == nil,
	}
	c.trial.note("client has for %s: status %d, stamp %q, %d bytes, whole %v", r.id, a.status, a.stamp, len(data), a.whole)
	return a, nil
}
