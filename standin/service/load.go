package service

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/fuchsianotch/fuchsianotch/standin/fault"
)

// load is the report of a service: it knows no slots.
type load struct {
	At      time.Time `json:"at"`
	Leaving bool      `json:"leaving"`
}

func (s *Service) load(w http.ResponseWriter, r *http.Request) {
	s.faults.Thaw()
	f := s.faults.Get()
	if f.Silent {
		<-r.Context().Done()
		return
	}
	fault.WriteJSON(w, load{
		At:      time.Now(),
		Leaving: f.Leaving,
	})
}

// encode returns the answer's JSON; an Answer always has one.
func encode(answer Answer) []byte {
	data, err := json.Marshal(answer)
	if err != nil {
		panic(err)
	}
	return data
}
