package endpoint

import (
	"bytes"
	"encoding/json"
	"errors"
)

var errTrailingData = errors.New("unexpected data after the chunk's JSON value")

// jsonDecoder decodes successive JSON values with reused memory, which
// json.Unmarshal would allocate for each. It must not be used after an error.
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

// decode parses data, which must hold exactly one value, into v.
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
