package ticket

import (
	"slices"

	"github.com/fuchsianotch/fuchsianotch/result"
)

// handedOverhead is what a record takes in a message besides its ticket,
// header and body, in bytes; generous.
const handedOverhead = 128

// rightsOverhead is the same for rights without their records.
const rightsOverhead = 512

// Parts splits the hand-over for messages of at most limit bytes. All parts
// but the last are copies without rights; the last brings the rights, which
// the receiver takes only when it has all records. Send them in order, and
// the last one only after every other was answered. A body over the limit is
// left behind.
func (h HandOver) Parts(limit int) []HandOver {
	room := max(limit-rightsOverhead*len(h.Rights), 1)
	if h.size() <= room {
		return []HandOver{h}
	}
	var parts []HandOver
	for _, r := range h.Rights {
		for _, records := range pieces(r.Records, room) {
			parts = append(parts, h.part(r, records))
		}
	}
	return append(parts, h.bare())
}

func (h HandOver) size() int {
	n := 0
	for _, r := range h.Rights {
		for _, record := range r.Records {
			n += record.size()
		}
	}
	return n
}

func (r HandedRecord) size() int {
	return handedOverhead + len(r.Ticket) + r.Record.size()
}

// part is a copy of some records.
func (h HandOver) part(r Rights, records []HandedRecord) HandOver {
	r.Key = nil
	r.Records = records
	h.Rights = []Rights{r}
	return h
}

// bare is the hand-over without its records.
func (h HandOver) bare() HandOver {
	h.Rights = slices.Clone(h.Rights)
	for i := range h.Rights {
		h.Rights[i].Records = nil
	}
	return h
}

// pieces cuts the records into runs of at most room bytes.
func pieces(records []HandedRecord, room int) [][]HandedRecord {
	var out [][]HandedRecord
	start, used := 0, 0
	for i := range records {
		size := records[i].size()
		if used+size > room && i > start {
			out = append(out, shortened(records[start:i], room))
			start, used = i, 0
		}
		used += size
	}
	if start < len(records) {
		out = append(out, shortened(records[start:], room))
	}
	return out
}

// shortened leaves out the one answer that is over the room by itself.
func shortened(records []HandedRecord, room int) []HandedRecord {
	if len(records) > 1 || records[0].size() <= room || records[0].Record.size() == 0 {
		return records
	}
	lost := records[0]
	lost.Record = Record{
		Code: result.RecordLost,
	}
	return []HandedRecord{lost}
}
