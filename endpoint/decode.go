package endpoint

import (
	"bytes"
	"encoding/json"
	"errors"
)

var errTrailing = errors.New("something follows the chunk's JSON")

// decoder decodes one JSON value after the other with the same memory, which
// json.Unmarshal would allocate for each. It can't be used after an error.
type decoder struct {
	feed    bytes.Reader
	decoder *json.Decoder
	fed     int64
}

func newDecoder() *decoder {
	d := &decoder{}
	d.decoder = json.NewDecoder(&d.feed)
	return d
}

// decode reads data, which must be one whole value, into v.
func (d *decoder) decode(data []byte, v any) error {
	data = bytes.TrimRight(data, " \t")
	d.feed.Reset(data)
	d.fed += int64(len(data))
	if err := d.decoder.Decode(v); err != nil {
		return err
	}
	if d.decoder.InputOffset() != d.fed {
		return errTrailing
	}
	return nil
}
