// Command densedays writes random days with many disruptions close together, in the format
// of deploy/days. Equal seeds give equal days.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
)

func main() {
	app := kingpin.New("densedays", "Write random days with many disruptions close together.")
	var o Options
	app.Flag("seed", "The seed of the first day; the next ones follow.").Default("1").Uint64Var(&o.Seed)
	app.Flag("count", "Number of days.").Default("12").IntVar(&o.Count)
	app.Flag("least", "Least number of random disruptions in a day.").Default("6").IntVar(&o.Least)
	app.Flag("most", "Most random disruptions in a day.").Default("10").IntVar(&o.Most)
	app.Flag("from", "Time of the first disruption.").Default("2s").DurationVar(&o.From)
	app.Flag("within", "Time in which all disruptions begin.").Default("16s").DurationVar(&o.Within)
	app.Flag("bursts", "Begin with all endpoints of a service failing in two bursts, with all VMs killed between.").BoolVar(&o.Bursts)
	app.Flag("out", "Directory to write the days to.").Required().ExistingDirVar(&o.Dir)
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := writeDays(o); err != nil {
		fmt.Fprintln(os.Stderr, "densedays:", err)
		os.Exit(1)
	}
}
