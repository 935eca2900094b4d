package discovery

import "time"

// deadline is a time at which an endpoint changes without a message.
type deadline struct {
	at time.Time
	id string
}

// deadlines is a binary heap, earliest first. A deadline that no longer applies to its
// endpoint stays queued and is dropped when it comes first.
type deadlines []deadline

// add queues the next time at which an endpoint changes; a zero time is ignored.
func (d *deadlines) add(id string, at time.Time) {
	if at.IsZero() {
		return
	}
	heap := append(*d, deadline{
		at: at,
		id: id,
	})
	for i := len(heap) - 1; i > 0; {
		parent := (i - 1) / 2
		if !heap[i].at.Before(heap[parent].at) {
			break
		}
		heap[i], heap[parent] = heap[parent], heap[i]
		i = parent
	}
	*d = heap
}

// takeDue removes the first deadline if it has passed.
func (d *deadlines) takeDue(now time.Time) (id string, ok bool) {
	if len(*d) == 0 || now.Before((*d)[0].at) {
		return "", false
	}
	return d.removeFirst().id, true
}

// next returns the first deadline that applies; zero if there is none.
func (d *deadlines) next(applies func(deadline) bool) time.Time {
	for len(*d) > 0 {
		if first := (*d)[0]; applies(first) {
			return first.at
		}
		d.removeFirst()
	}
	return time.Time{}
}

func (d *deadlines) removeFirst() deadline {
	heap := *d
	first, last := heap[0], len(heap)-1
	heap[0] = heap[last]
	heap = heap[:last]
	for i := 0; ; {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(heap); child++ {
			if heap[child].at.Before(heap[least].at) {
				least = child
			}
		}
		if least == i {
			break
		}
		heap[i], heap[least] = heap[least], heap[i]
		i = least
	}
	*d = heap
	return first
}
