package agent

import (
	"strconv"
	"sync/atomic"
)

// provenCapacity is the number of successful calls remembered, at eight bytes each:
// some minutes of the calls of a small VM.
const provenCapacity = 4096

// provenCalls remembers the contents that recently succeeded in a hash table without
// collision handling: a newer content replaces an older one in its slot.
type provenCalls struct {
	slots [provenCapacity]atomic.Uint64
}

func (p *provenCalls) add(content uint64) {
	p.slots[content%provenCapacity].Store(content)
}

func (p *provenCalls) has(content uint64) bool {
	return p.slots[content%provenCapacity].Load() == content
}

// contentText formats a content for logs.
func contentText(content uint64) string {
	return strconv.FormatUint(content, 16)
}
