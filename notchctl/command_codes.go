package main

import (
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/fuchsianotch/fuchsianotch/result"
)

const outputMarkdown = "markdown"

// codesCommand adds "notchctl codes".
func codesCommand(app *kingpin.Application, stdout io.Writer) {
	command := app.Command("codes", "Show the result codes with their classes, meanings and advice.")
	output := command.Flag("output", "Output format; docs/result-codes.md is the markdown output.").
		Default(outputTable).Enum(outputTable, outputJSON, outputMarkdown)
	command.Action(func(*kingpin.ParseContext) error {
		switch *output {
		case outputMarkdown:
			return result.WriteMarkdown(stdout)
		case outputJSON:
			return writeJSON(stdout, result.Table)
		default:
			return result.WriteTable(stdout)
		}
	})
}
