package jsonc

import (
	"encoding/json"
	"time"
)

// Duration is a time.Duration encoded as a string such as "580ms".
type Duration struct {
	time.Duration
}

// UnmarshalJSON parses the string form. It fails on any other JSON type.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return err
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return err
	}
	d.Duration = parsed
	return nil
}

// MarshalJSON writes the string form.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(d.String())
}

// DescribeValues returns examples of valid durations.
func (Duration) DescribeValues() string {
	return `a duration such as "580ms" or "2m"`
}
