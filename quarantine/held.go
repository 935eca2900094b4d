package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/entry"
)

// regionTrialInterval is the delay between the trials of two regions, so that the
// result of one is known everywhere before the next.
const regionTrialInterval = 5 * time.Second

// Quarantined is a quarantined subject.
type Quarantined struct {
	Subject call.Subject
	Crashes int
	// TryAt is when this VM may admit a call with the subject as a trial; zero if other VMs
	// do.
	TryAt time.Time
}

// Admission is the answer to whether a call may be sent to endpoints.
type Admission struct {
	// Held is a quarantined subject of the call, which therefore must not be sent, and Crashes
	// the number of endpoints that crashed under it; zero if it may.
	Held    call.Subject
	Crashes int
	// Trial is the quarantined subject that the call may be sent to try; zero if it has none.
	Trial call.Subject
}

// Held returns the quarantined subjects in no particular order. vms are the reachable VMs,
// including this one.
func (l *List) Held(vms []Peer) []Quarantined {
	var out []Quarantined
	for subject, v := range l.verdicts {
		if v.State != StateQuarantined {
			continue
		}
		out = append(out, Quarantined{
			Subject: subject,
			Crashes: v.Crashes,
			TryAt:   l.trialTime(v, vms),
		})
	}
	return out
}

// Counts are the numbers of subjects with a verdict.
type Counts struct {
	// Contents and Parts are quarantined, SuspectedParts are watched for answers.
	Contents, Parts, SuspectedParts int
}

// Counts returns the numbers of subjects with a verdict.
func (l *List) Counts() (c Counts) {
	for subject, v := range l.verdicts {
		switch {
		case v.State == StateSuspected && subject.IsPart():
			c.SuspectedParts++
		case v.State == StateQuarantined && subject.IsPart():
			c.Parts++
		case v.State == StateQuarantined:
			c.Contents++
		}
	}
	return c
}

// trialTime returns when this VM may admit a trial, like a half-open circuit breaker.
// The highest-ranked VM of each region may, one region after the other.
func (l *List) trialTime(v *Verdict, vms []Peer) time.Time {
	key := v.Subject.String()
	regions := make(map[string][]string)
	ownRegion := ""
	for _, p := range vms {
		regions[p.VM.Region] = append(regions[p.VM.Region], p.VM.ID)
		if p.VM.ID == l.self {
			ownRegion = p.VM.Region
		}
	}
	if entry.Owner(key, regions[ownRegion]) != l.self {
		return time.Time{}
	}
	var order []string
	for region := range regions {
		order = append(order, region)
	}
	h := entry.Hash(key)
	slices.SortFunc(order, func(a, b string) int {
		return cmp.Or(cmp.Compare(entry.Score(h, entry.Hash(b)), entry.Score(h, entry.Hash(a))), cmp.Compare(a, b))
	})
	return v.NextTrialAt.Add(time.Duration(slices.Index(order, ownRegion)) * regionTrialInterval)
}
