package main

import (
	"github.com/alecthomas/kingpin/v2"

	"github.com/fuchsianotch/fuchsianotch/standin/endpoint"
)

// endpointCommand adds "standin endpoint".
func endpointCommand(app *kingpin.Application) {
	command := app.Command("endpoint", "Serve a model engine with continuous batching.")
	listen := command.Flag("listen", "Address to listen on.").Default(defaultListen).String()
	id := command.Flag("id", "The endpoint's id.").Default("endpoint").String()
	model := command.Flag("model", "The model that it serves.").Default("model").String()
	slots := command.Flag("slots", "Requests that run at once.").Default("16").Int()
	step := command.Flag("step", "Time for a token of an empty batch.").Default("5ms").Duration()
	prefill := command.Flag("prefill-rate", "Prompt tokens prefilled per second.").Default("10000").Int()
	blocks := command.Flag("cache-blocks", "Blocks of prompt prefixes kept in the cache.").Default("4096").Int()
	lag := command.Flag("report-lag", "How far load reports and cache events lag behind.").Default("200ms").Duration()
	resumes := command.Flag("resumes", "Resume a stream where asked.").Default("true").Bool()
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
