package demo

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"pollengauge.dev/demo/load"
	"pollengauge.dev/demo/report"
)

func writeHeader(out io.Writer, o Options, d *Deployment) error {
	rate := 0.0
	for _, class := range d.Classes {
		rate += class.Rate
	}
	_, err := fmt.Fprintf(out, "\n== %s: %d services, slots and connections divided by %d; %.0f operations a second, %d times that in the surge; seed %d, time scale %g\n",
		d.Name, len(d.Services), d.Scale, rate, surgeFactor, o.Seed, o.TimeScale)
	if err != nil {
		return &WriteError{Err: err}
	}
	return nil
}

func writeReport(out io.Writer, run *report.Run) error {
	if _, err := fmt.Fprintf(out, "\n-- %s on %s\n", run.Deployment, run.System); err != nil {
		return &WriteError{Err: err}
	}
	if err := report.Table(out, run); err != nil {
		return err
	}
	return report.PromiseList(out, run)
}

// plots lists the plots of a deployment, each with the suffix of its file name.
var plots = []struct {
	suffix, title string
	keep          func(load.Class) bool
}{
	{"", "all classes", func(load.Class) bool { return true }},
	{"-shed-last", "classes shed last", func(c load.Class) bool { return c.Shed == load.ShedLast }},
}

func writePlots(o Options, d *Deployment, runs []*report.Run) error {
	if o.PlotDir == "" || len(runs) == 0 {
		return nil
	}
	for _, p := range plots {
		var svg bytes.Buffer
		if err := report.Plot(&svg, d.Name+": goodput, "+p.title, runs, p.keep); err != nil {
			return err
		}
		name := filepath.Join(o.PlotDir, d.Name+p.suffix+".svg")
		if err := os.WriteFile(name, svg.Bytes(), plotMode); err != nil {
			return &WriteError{Err: err}
		}
	}
	return nil
}

const plotMode = 0o644
