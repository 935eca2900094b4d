package main

import (
	"github.com/alecthomas/kingpin/v2"

	"github.com/fuchsianotch/fuchsianotch/standin/service"
)

// serviceCommand adds "standin service".
func serviceCommand(app *kingpin.Application) {
	command := app.Command("service", "Serve a plain service that counts its runs.")
	listen := command.Flag("listen", "Address to listen on.").Default(defaultListen).String()
	id := command.Flag("id", "The endpoint's id.").Default("service").String()
	work := command.Flag("work", "Time that each call takes.").Default("1ms").Duration()
	command.Action(func(*kingpin.ParseContext) error {
		s := service.New(service.Options{
			ID:   *id,
			Work: *work,
		})
		return listenAndServe(*listen, s.Serve)
	})
}
