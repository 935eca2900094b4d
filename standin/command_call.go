package main

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/fuchsianotch/fuchsianotch/standin/caller"
)

// callFlags are the flags of "standin call".
type callFlags struct {
	vms            []string
	key            string
	model          string
	system         string
	message        string
	maxTokens      int
	stream         bool
	service        string
	method         string
	path           string
	body           string
	ticket         string
	withTicket     bool
	idempotencyKey string
	priority       string
	within         time.Duration
	maxTries       int
}

// callCommand adds "standin call", which sends one call and prints its result as
// JSON. The exit status does not depend on the result.
func callCommand(app *kingpin.Application) {
	f := &callFlags{}
	command := app.Command("call", "Send one chat completion, or with --service one service call.")
	command.Flag("vm", "Address of a VM to request entries from; repeatable.").Required().StringsVar(&f.vms)
	command.Flag("key", "API key of the workspace.").Required().StringVar(&f.key)
	command.Flag("model", "Name of the model.").StringVar(&f.model)
	command.Flag("system", "System message, the shared prefix of prompts.").StringVar(&f.system)
	command.Flag("message", "User message.").StringVar(&f.message)
	command.Flag("max-tokens", "Maximum number of generated tokens; 0 uses the model's default.").IntVar(&f.maxTokens)
	command.Flag("stream", "Request a streamed response.").BoolVar(&f.stream)
	command.Flag("service", "Plain service to call.").StringVar(&f.service)
	command.Flag("method", "Method of a service call.").Default("GET").StringVar(&f.method)
	command.Flag("path", "Path of a service call, with its query.").Default("/").StringVar(&f.path)
	command.Flag("body", "Body of a service call.").StringVar(&f.body)
	command.Flag("ticket", "Ticket for a service call.").StringVar(&f.ticket)
	command.Flag("with-ticket", "Request a ticket before a service call.").BoolVar(&f.withTicket)
	command.Flag("idempotency-key", "Idempotency-Key of a service call.").StringVar(&f.idempotencyKey)
	command.Flag("priority", "urgent, chat or report.").EnumVar(&f.priority, "", "urgent", "chat", "report")
	command.Flag("within", "Time until the deadline; 0 uses the contract's default.").DurationVar(&f.within)
	command.Flag("max-tries", "Maximum number of attempts; 0 uses the default.").IntVar(&f.maxTries)
	command.Action(func(*kingpin.ParseContext) error {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetEscapeHTML(false)
		return encoder.Encode(f.send(context.Background()))
	})
}

func (f *callFlags) send(ctx context.Context) caller.Result {
	c := caller.New(caller.Options{
		VMs:      f.vms,
		Key:      f.key,
		MaxTries: f.maxTries,
	})
	options := caller.CallOptions{
		Priority: f.priority,
	}
	if f.within > 0 {
		options.Deadline = time.Now().Add(f.within)
	}
	if f.service == "" {
		return c.Chat(ctx, caller.Chat{
			Model:       f.model,
			System:      f.system,
			Message:     f.message,
			MaxTokens:   f.maxTokens,
			Stream:      f.stream,
			CallOptions: options,
		})
	}
	return c.Service(ctx, caller.Service{
		Service:        f.service,
		Method:         f.method,
		Path:           f.path,
		Body:           []byte(f.body),
		Ticket:         f.ticket,
		WithTicket:     f.withTicket,
		IdempotencyKey: f.idempotencyKey,
		CallOptions:    options,
	})
}
