package service

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/fuchsianotch/fuchsianotch/standin/fault"
)

// loadReport is the load report of a plain service, which has no slots.
type loadReport struct {
	At      time.Time `json:"at"`
	Leaving bool      `json:"leaving"`
}

func (s *Service) serveLoad(w http.ResponseWriter, r *http.Request) {
	s.faults.WaitWhileFrozen()
	f := s.faults.Get()
	if f.Silent {
		<-r.Context().Done()
		return
	}
	fault.WriteJSON(w, loadReport{
		At:      time.Now(),
		Leaving: f.Leaving,
	})
}

// marshalAnswer returns the answer as JSON, which cannot fail for this type.
func marshalAnswer(answer Answer) []byte {
	data, err := json.Marshal(answer)
	if err != nil {
		panic(err)
	}
	return data
}
