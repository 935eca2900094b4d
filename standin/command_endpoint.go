package main

import (
	"github.com/alecthomas/kingpin/v2"

	"github.com/fuchsianotch/fuchsianotch/standin/endpoint"
)

// endpointCommand adds "standin endpoint".
func endpointCommand(app *kingpin.Application) {
	command := app.Command("endpoint", "Serve a model engine with continuous batching.")
	listen := command.Flag("listen", "Address to listen on.").Default(defaultListen).String()
	id := command.Flag("id", "ID of the endpoint.").Default("endpoint").String()
	model := command.Flag("model", "Name of the model.").Default("model").String()
	slots := command.Flag("slots", "Maximum batch size.").Default("16").Int()
	step := command.Flag("step", "Time per token at a batch size near zero.").Default("5ms").Duration()
	prefill := command.Flag("prefill-rate", "Prompt tokens prefilled per second.").Default("10000").Int()
	blocks := command.Flag("cache-blocks", "Capacity of the prefix cache in blocks.").Default("4096").Int()
	lag := command.Flag("report-lag", "Delay of load reports and cache events.").Default("200ms").Duration()
	resumes := command.Flag("resumes", "Support resumption of streams.").Default("true").Bool()
	command.Action(func(*kingpin.ParseContext) error {
		e := endpoint.New(endpoint.Options{
			ID:          *id,
			Model:       *model,
			Slots:       *slots,
			Step:        *step,
			PrefillRate: *prefill,
			CacheBlocks: *blocks,
			ReportLag:   *lag,
			Resumes:     *resumes,
		})
		return listenAndServe(*listen, e.Serve)
	})
}
