package main

import (
	"github.com/alecthomas/kingpin/v2"

	"github.com/fuchsianotch/fuchsianotch/contract"
	"github.com/fuchsianotch/fuchsianotch/standin/platform"
)

// platformCommand adds "standin platform".
func platformCommand(app *kingpin.Application) {
	command := app.Command("platform", "Serve the platform's configuration service and list of VMs.")
	listen := command.Flag("listen", "Address to listen on.").Default(defaultListen).String()
	load := command.Flag("load", "Directory of JSON files to publish at startup.").ExistingDir()
	lag := command.Flag("list-lag", "Delay of the list of VMs.").Duration()
	reads := command.Flag("reads-per-second", "Limit of reads per second over all readers.").Default("2000").Int()
	command.Action(func(*kingpin.ParseContext) error {
		p := platform.New(platform.Switches{
			ListLag:        contract.Duration{Duration: *lag},
			ReadsPerSecond: *reads,
		})
		if *load != "" {
			if err := p.Load(*load); err != nil {
				return err
			}
		}
		return listenAndServe(*listen, p.Serve)
	})
}
