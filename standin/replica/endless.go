package replica

import (
	"io"
	"net/http"
	"strings"
)

// EndlessAnswer is an answer that goes on until its client closes the connection.
type EndlessAnswer struct {
	// Status is the status code with its reason.
	Status string
	// Header has the header lines apart from those of the attempt, each with its line end, and
	// Begin is the start of the body. Repeat follows without end.
	Header string
	Begin  string
	Repeat string
	// Probes is set if load reports and health probes get the answer as well.
	Probes bool
}

// endlessWriteBytes is the size of one write of an endless answer.
const endlessWriteBytes = 16 << 10

// sendEndless sends an answer until the connection ends.
func (r *Replica) sendEndless(w http.ResponseWriter, id string, answer EndlessAnswer) {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	conn, _, err := hijacker.Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	head := "HTTP/1.1 " + answer.Status + "\r\n" + headerAttempt + ": " + id + "\r\n" +
		headerSignature + ": stamp." + r.ID + "." + id + "\r\n" + answer.Header + "\r\n" + answer.Begin
	if _, err := io.WriteString(conn, head); err != nil {
		return
	}
	data := strings.Repeat(answer.Repeat, endlessWriteBytes/len(answer.Repeat)+1)
	for err == nil {
		_, err = io.WriteString(conn, data)
	}
}
