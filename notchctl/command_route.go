package main

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/fuchsianotch/fuchsianotch/console"
	"github.com/fuchsianotch/fuchsianotch/operator"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// routeFlags are the flags of "notchctl route".
type routeFlags struct {
	query   operator.RouteQuery
	vms     []string
	timeout time.Duration
	json    bool
}

// routeCommand adds "notchctl route".
func routeCommand(app *kingpin.Application, stdout io.Writer) {
	command := app.Command("route", "Show where a request would go now and why, on a platform with routes. Nothing is sent to an endpoint, and nothing is counted.")
	f := &routeFlags{}
	command.Flag("vm", "Address of a VM's metrics, IP number and port; may be repeated, then the first VM of the region that answers is asked.").Required().StringsVar(&f.vms)
	command.Flag("host", "Host of the request.").Required().StringVar(&f.query.Host)
	command.Flag("path", "Path of the request.").Required().StringVar(&f.query.Path)
	command.Flag("workspace", "Name of the workspace whose key the request has.").StringVar(&f.query.Workspace)
	command.Flag("region", "Region in which the request arrives; default is that of the VM.").StringVar(&f.query.Region)
	command.Flag("service", "Service, if several share the route; default is the one of the highest weight.").StringVar(&f.query.Service)
	command.Flag("prompt-tokens", "Number of prompt tokens.").IntVar(&f.query.PromptTokens)
	command.Flag("max-tokens", "Largest number of generated tokens.").IntVar(&f.query.MaxTokens)
	command.Flag("answer-tokens", "The caller's estimate of the generated tokens.").IntVar(&f.query.AnswerTokens)
	command.Flag("prompt-parts", "Parts of the prompt as ID:TOKENS with commas between, as in the header.").StringVar(&f.query.PromptParts)
	command.Flag("version", "Software version that the endpoint must have, as for a stream that is resumed.").StringVar(&f.query.Version)
	command.Flag("timeout", "Bound of the whole question.").Default("5s").DurationVar(&f.timeout)
	command.Flag("json", "Write JSON.").BoolVar(&f.json)
	command.Action(func(*kingpin.ParseContext) error { return f.run(stdout) })
}

func (f *routeFlags) run(stdout io.Writer) error {
	ctx, cancel := context.WithTimeout(context.Background(), f.timeout)
	defer cancel()
	explained, err := f.ask(ctx)
	if err != nil {
		return routeError(err)
	}
	if f.json {
		return writeJSON(stdout, &explained.RouteExplanation)
	}
	return explained.WriteTable(stdout)
}

// ask returns the first explanation. VMs that are not reached or in another region are passed
// over; the error is that of the last VM asked.
func (f *routeFlags) ask(ctx context.Context) (explained *console.Route, err error) {
	client := newConsole()
	for _, addr := range f.vms {
		explained, err = client.Route(ctx, addr, f.query)
		var refusal *result.Refusal
		if err == nil || !errors.As(err, &refusal) || refusal.Code != result.PeerUnreachable && refusal.Code != result.WrongRegion {
			return explained, err
		}
	}
	return nil, err
}

func routeError(err error) error {
	var refusal *result.Refusal
	switch {
	case !errors.As(err, &refusal):
		return exitErrorf(exitUsage, "%v", err)
	case refusal.Code == result.PeerUnreachable:
		return exitErrorf(exitUnreached, "%v", refusal)
	case refusal.Code == result.BadRequest:
		return exitErrorf(exitUsage, "%v", refusal)
	default:
		return exitErrorf(exitFailed, "%v", refusal)
	}
}
