package endpoint

import (
	"bytes"
	"encoding/json"
	"errors"
)

var errTrailingData = errors.New("something follows the chunk's JSON")

// jsonDecoder decodes one JSON value after the other with the same memory, which
// json.Unmarshal would allocate for each. It can't be used after an error.
type jsonDecoder struct {
	input      bytes.Reader
	decoder    *json.Decoder
	inputBytes int64
}

func newJSONDecoder() *jsonDecoder {
	d := &jsonDecoder{}
	d.decoder = json.NewDecoder(&d.input)
	return d
}

// decode reads data, which must be one whole value, into v.
func (d *jsonDecoder) decode(data []byte, v any) error {
	data = bytes.TrimRight(data, " \t")
	d.input.Reset(data)
	d.inputBytes += int64(len(data))
	if err := d.decoder.Decode(v); err != nil {
		return err
	}
	if d.decoder.InputOffset() != d.inputBytes {
		return errTrailingData
	}
	return nil
}
