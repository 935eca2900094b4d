package limit

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
	"github.com/fuchsianotch/fuchsianotch/contract"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// script interprets a file of testdata/ledger. Each line is a command with key=value
// arguments, optionally followed by "->" and the expected result.
type script struct {
	ledgers map[string]*Ledger
	policy  string
	terms   contract.RegionLimits
	held    map[string]Request
	open    map[string]Reservation
	now     time.Time
}

var origin = time.Unix(1e9, 0)

func TestLedgerScripts(t *testing.T) {
	datatest.RunScripts(t, "testdata/ledger/*.txtar", func() datatest.CommandFunc {
		s := &script{
			ledgers: make(map[string]*Ledger),
			held:    make(map[string]Request),
			open:    make(map[string]Reservation),
			now:     origin,
		}
		return s.do
	})
}

// do runs a command. For most commands the first argument is the VM.
func (s *script) do(t *testing.T, name string, words []string) string {
	args := parseArgs(words)
	vm := ""
	if len(words) > 0 {
		vm = words[0]
	}
	l := s.ledger(vm)
	switch name {
	case "policy":
		s.policy = vm
	case "at":
		s.now = origin.Add(duration(vm))
	case "terms":
		s.terms = contract.RegionLimits{
			RequestsPerSecond: args["requests"],
			TokensPerSecond:   args["tokens"],
			SpendPerHour:      args["spend"],
			Concurrency:       int(args["concurrency"]),
			BorrowShare:       args["borrow"],
		}
	case "share":
		s.held[vm] = parseShare(words[1:], args)
	case "take":
		return s.take(l, vm, words[1], args)
	case "settle":
		l.Settle(s.open[words[1]], amounts(args), s.now)
	case "cancel":
		l.Cancel(s.open[words[1]], s.now)
	case "want":
		want, unused, ask := l.LeaseRequest("ws", s.terms, s.now)
		return fmt.Sprintf("%v want %s unused %s", ask, formatAmounts(want), formatAmounts(unused))
	case "grant":
		given, refusal := l.Grant(s.request(vm, words[1]), amounts(args), parseUnused(words), s.now)
		if refusal != nil {
			return strconv.Itoa(int(refusal.Code))
		}
		return formatAmounts(given)
	case "lease":
		l.AddLease("ws", amounts(args), s.now.Add(LeaseTerm))
	case "sweep":
		return strconv.Itoa(l.Sweep(s.now))
	default:
		t.Fatalf("unknown command %q", name)
	}
	return ""
}

func (s *script) ledger(vm string) *Ledger {
	if s.ledgers[vm] == nil {
		s.ledgers[vm] = New(Options{Policy: s.policy})
	}
	return s.ledgers[vm]
}

func (s *script) request(vm, from string) Request {
	r := s.held[vm]
	r.Workspace = "ws"
	r.Terms = s.terms
	r.VMs = 4
	r.Borrower = from
	return r
}

func (s *script) take(l *Ledger, vm, id string, args map[string]float64) string {
	r := s.request(vm, "")
	r.Cost = amounts(args)
	reservation, refusal := l.Take(r, s.now)
	if refusal != nil {
		return s.describeRefusal(l, r, refusal)
	}
	s.open[id] = reservation
	return "ok"
}

// describeRefusal formats a refusal, after checking on a copy of the account that its
// retry time is the earliest that admits the call.
func (s *script) describeRefusal(l *Ledger, r Request, refusal *result.Refusal) string {
	if refusal.RetryAt.IsZero() {
		return strconv.Itoa(int(refusal.Code))
	}
	l.applyPolicy(&r)
	probe := *l.shard(r.Workspace).account(r.Workspace)
	for _, c := range []struct {
		at   time.Time
		free bool
	}{
		{at: refusal.RetryAt.Add(-time.Millisecond)},
		{at: refusal.RetryAt, free: true},
	} {
		probe.refill(&r, c.at)
		if short := probe.shortage(&r, c.at); short.isZero() != c.free {
			return fmt.Sprintf("admitted at %v: %v", c.at.Sub(origin), short.isZero())
		}
	}
	return fmt.Sprintf("%d at %v", refusal.Code, refusal.RetryAt.Sub(origin).Round(time.Millisecond))
}

func parseArgs(words []string) map[string]float64 {
	args := make(map[string]float64)
	for _, w := range words {
		key, value, _ := strings.Cut(w, "=")
		if f, err := strconv.ParseFloat(value, 64); err == nil {
			args[key] = f
		}
	}
	return args
}

func amounts(args map[string]float64) Amounts {
	return Amounts{
		Requests:    args["requests"],
		Tokens:      args["tokens"],
		Spend:       args["spend"],
		Concurrency: int(args["concurrency"]),
		Borrowed:    args["borrowed"],
	}
}

func parseUnused(words []string) Amounts {
	args := parseArgs(words)
	return Amounts{
		Requests: args["back"],
	}
}

func formatAmounts(a Amounts) string {
	return fmt.Sprintf("requests=%.4g tokens=%.4g concurrency=%d", a.Requests, a.Tokens, a.Concurrency)
}

func parseShare(words []string, args map[string]float64) Request {
	r := Request{
		Share:         args["now"],
		PreviousShare: args["base"],
		Owner:         args["now"] > 0,
	}
	for _, w := range words {
		switch key, value, _ := strings.Cut(w, "="); key {
		case "since":
			r.ShareSince = origin.Add(duration(value))
		case "base_since":
			r.PreviousShareSince = origin.Add(duration(value))
		}
	}
	return r
}

func duration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		panic(err)
	}
	return d
}
