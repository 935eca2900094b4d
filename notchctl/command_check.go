package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/fuchsianotch/fuchsianotch/contract"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/settings"
)

// checkCommand adds "notchctl check".
func checkCommand(app *kingpin.Application, stdout io.Writer) {
	command := app.Command("check", "Validate documents as every VM does, or settings. "+
		"A document's key is its file name without .json, prefixed by contracts/ if the file is in a directory of that name.")
	files := command.Arg("files", "Files to check.").Required().Strings()
	asSettings := command.Flag("settings", "The files are settings of gateway serve.").Bool()
	key := command.Flag("key", "Key that the one file given is published under, such as contracts/3.").String()
	command.Action(func(*kingpin.ParseContext) error {
		if *key != "" && (*asSettings || len(*files) > 1) {
			return exitErrorf(exitUsage, "--key requires a single document")
		}
		code := exitOK
		for _, file := range *files {
			code = max(code, checkFile(stdout, file, *key, *asSettings))
		}
		if code != exitOK {
			return exitErrorf(code, "")
		}
		return nil
	})
}

func checkFile(stdout io.Writer, file, key string, asSettings bool) int {
	refusal := validateFile(file, key, asSettings)
	if refusal == nil {
		_, _ = fmt.Fprintf(stdout, "%s: accepted\n", file)
		return exitOK
	}
	_, _ = fmt.Fprintf(stdout, "%s: refused: %s\n", file, refusal.Error())
	return refusalExitCode(refusal)
}

func validateFile(file, key string, asSettings bool) *result.Refusal {
	if asSettings {
		_, refusal := settings.Load(file)
		return refusal
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return result.Refuse(result.SettingFile, "want a file that can be read: %v", err)
	}
	if key == "" {
		key = documentKey(file)
	}
	_, refusal := contract.Parse(key, data)
	return refusal
}

// documentKey derives a document's key from the path of its file.
func documentKey(file string) string {
	path := filepath.ToSlash(file)
	name := strings.TrimSuffix(path[strings.LastIndexByte(path, '/')+1:], ".json")
	dir := strings.TrimSuffix(contract.KeyBucketPrefix, "/")
	if filepath.Base(filepath.Dir(file)) == dir {
		return contract.KeyBucketPrefix + name
	}
	return name
}
