package jsonc

import (
	"encoding/json"
	"time"
)

// Duration is a time.Duration written as a string such as "580ms". Files hold
// durations only where a bound is relative by nature, as a timeout is.
type Duration struct {
	time.Duration
}

// UnmarshalJSON reads the string form. It fails on any other JSON type.
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

// Wanted says which values a Duration takes.
func (Duration) Wanted() string {
	return `a duration such as "580ms" or "2m"`
}
