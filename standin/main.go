// Command standin runs fakes of the systems around the gateway for tests: the
// platform, model engines, plain services and callers.
package main

import (
	"os"

	"github.com/alecthomas/kingpin/v2"
)

func main() {
	app := kingpin.New("standin", "Stand-ins for the platform, endpoints and callers of fuchsianotch.")
	platformCommand(app)
	callCommand(app)
	serviceCommand(app)
	endpointCommand(app)
	loadCommand(app)
	_, err := app.Parse(os.Args[1:])
	app.FatalIfError(err, "")
}
