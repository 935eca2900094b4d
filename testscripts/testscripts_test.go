package testscripts

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/fuchsianotch/fuchsianotch/testscripts/scenario"
)

var options scenario.Options

// TestMain builds the binaries that the scripts run.
func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	bin, err := os.MkdirTemp("", "fuchsianotch-bin")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(bin) }()
	for _, program := range []string{"gateway", "standin", "notchctl"} {
		build := exec.Command("go", "build", "-o", filepath.Join(bin, program), "../"+program)
		if out, err := build.CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "build %s: %v\n%s", program, err, out)
			return 1
		}
	}
	examples, err := filepath.Abs("../examples")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	options = scenario.Options{
		Bin:      bin,
		Examples: examples,
	}
	return m.Run()
}

// TestScripts runs the scripts in testdata.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:  "testdata",
		Cmds: scenario.Commands(options),
		Setup: func(env *testscript.Env) error {
			env.Setenv("PATH", options.Bin+string(os.PathListSeparator)+env.Getenv("PATH"))
			return nil
		},
	})
}
