package peer

import (
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
	"github.com/fuchsianotch/fuchsianotch/throttle"
)

// TestPermitMessages checks the round trip of limits and answers, the message sizes that
// the capacity page states, and that invalid rates are dropped.
func TestPermitMessages(t *testing.T) {
	now := time.Unix(1e9, 0)
	limit := throttle.Limit{
		Endpoint:    "i-604c01f936",
		Incarnation: 1764700000123,
		Version:     3,
		Active:      true,
		PerSecond:   1.5,
	}
	assert.Equal(t, EndpointLimitFromProto(EndpointLimitToProto(limit)), limit)
	assert.Equal(t, proto.Size(&peerpb.PermitRequest{Limit: EndpointLimitToProto(limit)}), 36)
	answer := throttle.Answer{
		IsCoordinator: true,
		Granted:       true,
		NextAt:        now.Add(time.Second),
	}
	assert.Equal(t, proto.Size(permitToProto(answer, now)), 7)
	assert.DeepEqual(t, permitFromProto(permitToProto(answer, now), now), answer)
	answer.Limit = limit
	assert.DeepEqual(t, permitFromProto(permitToProto(answer, now), now), answer)
	for _, perSecond := range []float64{-1, math.NaN(), math.Inf(1)} {
		limit.PerSecond = perSecond
		assert.Equal(t, EndpointLimitFromProto(EndpointLimitToProto(limit)), throttle.Limit{})
	}
}
