package main

import (
	"github.com/alecthomas/kingpin/v2"

	"github.com/fuchsianotch/fuchsianotch/standin/service"
)

// serviceCommand adds "standin service".
func serviceCommand(app *kingpin.Application) {
	command := app.Command("service", "Serve a plain service that counts runs.")
	listen := command.Flag("listen", "Address to listen on.").Default(defaultListen).String()
	id := command.Flag("id", "ID of the endpoint.").Default("service").String()
	work := command.Flag("work", "Processing time of each call.").Default("1ms").Duration()
	command.Action(func(*kingpin.ParseContext) error {
		s := service.New(service.Options{
			ID:   *id,
			Work: *work,
		})
		return listenAndServe(*listen, s.Serve)
	})
}
