package cli

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"pollengauge.dev/bench/experiment"
	"pollengauge.dev/bench/experiment/workload"
)

// Names of the files in the results directory of an experiment.
const (
	playsFile   = "plays.jsonl"
	resultsFile = "results.json"
	plotFile    = "worth.svg"
)

const (
	defaultSeeds = 10
	maxSeeds     = 10_000
)

// experimentCommand holds the flag values of one run of "bench experiment".
type experimentCommand struct {
	seeds    int
	parallel int
	out      string
	asJSON   bool
}

func newBenchExperimentCommand() *cobra.Command {
	c := &experimentCommand{}
	cmd := &cobra.Command{
		Use:   "experiment FILE",
		Short: "Compare variants of a workload",
		Long: `Play the variants of a workload file with several seeds each, in virtual time on
the product's own nodes, and print how far each variant is from the first: mean
differences of the plays with the same seed, with 95 % intervals, and the most
that the slots could earn.

Each play is kept in the directory of results as soon as it is done. Ctrl-C ends
the plays that are running and prints what is done; the same command then goes
on from there.`,
		Example: `  pollengauge bench experiment bench/experiment/workloads/mesh.yaml
  pollengauge bench experiment mesh.yaml --seeds 30 --parallel 4 --out /tmp/mesh`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error { return c.run(cmd, args[0]) },
	}
	flags := cmd.Flags()
	flags.IntVar(&c.seeds, "seeds", defaultSeeds, "seeds to play each variant with, from 1 on")
	flags.IntVar(&c.parallel, "parallel", runtime.GOMAXPROCS(0), "plays at once")
	flags.StringVar(&c.out, "out", "", "directory of results (default: the file's name with .results)")
	flags.BoolVar(&c.asJSON, "json", false, "write the result as JSON")
	return cmd
}

func (c *experimentCommand) run(cmd *cobra.Command, file string) error {
	cfg, err := c.config(cmd, file)
	if err != nil {
		return err
	}
	report, failed := experiment.Run(cmd.Context(), cfg)
	if report != nil {
		if err := c.write(cmd, report); err != nil {
			return err
		}
	}
	if failed != nil {
		return experimentError(file, failed)
	}
	if twice := report.RanTwice(); twice > 0 {
		return &BrokenError{Promises: twice}
	}
	return nil
}

func (c *experimentCommand) config(cmd *cobra.Command, file string) (experiment.Config, error) {
	if c.seeds < 1 || c.seeds > maxSeeds {
		return experiment.Config{}, &ArgumentError{Name: "--seeds", Value: strconv.Itoa(c.seeds), Want: "1 to " + strconv.Itoa(maxSeeds)}
	}
	if c.parallel < 1 {
		return experiment.Config{}, &ArgumentError{Name: "--parallel", Value: strconv.Itoa(c.parallel), Want: "1 or more"}
	}
	data, err := readFile(cmd.InOrStdin(), file)
	if err == nil {
		// Parse first, so that an invalid file leaves no results directory behind.
		_, err = workload.Parse(data)
	}
	if err != nil {
		return experiment.Config{}, &FileError{File: file, Cause: err}
	}
	if c.out == "" {
		c.out = resultsDirOf(file)
	}
	const dirMode = 0o755
	if err := os.MkdirAll(c.out, dirMode); err != nil {
		return experiment.Config{}, &OutputError{Cause: err}
	}
	return experiment.Config{
		Workload: data,
		Seeds:    c.seeds,
		Parallel: c.parallel,
		Journal:  filepath.Join(c.out, playsFile),
		Progress: newProgress(cmd.ErrOrStderr()).show,
	}, nil
}

// resultsDirOf returns the default results directory for a workload file.
func resultsDirOf(file string) string {
	name := filepath.Base(file)
	if file == stdinName {
		name = "stdin"
	}
	return strings.TrimSuffix(name, filepath.Ext(name)) + ".results"
}

// write stores the results as files and prints them.
func (c *experimentCommand) write(cmd *cobra.Command, report *experiment.Report) error {
	if err := writeTo(filepath.Join(c.out, resultsFile), func(w io.Writer) error { return writeJSON(w, report) }); err != nil {
		return err
	}
	if err := writeTo(filepath.Join(c.out, plotFile), report.WritePlot); err != nil {
		return err
	}
	if c.asJSON {
		return writeJSON(cmd.OutOrStdout(), report)
	}
	out := &printer{w: cmd.OutOrStdout()}
	out.text(report.String())
	out.text("\nresults are in " + c.out + "\n")
	return out.result()
}

// writeTo creates or truncates a file and writes its content. A failure is an
// *OutputError.
func writeTo(path string, write func(io.Writer) error) error {
	f, err := os.Create(path)
	if err != nil {
		return &OutputError{Cause: err}
	}
	err = write(f)
	if closeErr := f.Close(); err == nil && closeErr != nil {
		err = closeErr
	}
	if err != nil {
		return &OutputError{Cause: err}
	}
	return nil
}

// experimentError returns a *FileError if the workload file is invalid and a
// *BenchmarkError if the run failed.
func experimentError(file string, err error) error {
	if refused := (*workload.Error)(nil); errors.As(err, &refused) {
		return &FileError{File: file, Cause: refused}
	}
	return &BenchmarkError{Cause: err}
}

// progress prints the progress of an experiment: on a terminal as one line that
// is overwritten, elsewhere as one line per play.
type progress struct {
	w         io.Writer
	terminal  bool
	startedAt time.Time
	// earlierPlays is the number of plays that earlier runs have completed.
	earlierPlays int
}

func newProgress(w io.Writer) *progress {
	return &progress{w: w, terminal: isTerminal(w), startedAt: time.Now()}
}

func isTerminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

func (p *progress) show(now experiment.Progress) {
	if now.Last.Variant == "" {
		p.earlierPlays = now.Done
		if now.Done > 0 {
			p.line(strconv.Itoa(now.Done)+" of "+strconv.Itoa(now.Total)+" plays were done before", true)
		}
		return
	}
	p.line(p.text(now), now.Done == now.Total)
}

func (p *progress) text(now experiment.Progress) string {
	last := now.Last
	text := strconv.Itoa(now.Done) + " of " + strconv.Itoa(now.Total) + " plays, " + last.Variant +
		" seed " + strconv.FormatUint(last.Seed, 10) + " took " + last.Took.Round(time.Millisecond).String()
	if left := now.Total - now.Done; left > 0 {
		each := time.Since(p.startedAt) / time.Duration(now.Done-p.earlierPlays)
		text += ", about " + (each * time.Duration(left)).Round(time.Second).String() + " left"
	}
	return text
}

// line writes one line of progress. On a terminal the next line overwrites it
// unless permanent is set.
func (p *progress) line(text string, permanent bool) {
	if p.terminal {
		const clearLine = "\r\x1b[K"
		text = clearLine + text
	}
	if permanent || !p.terminal {
		text += "\n"
	}
	_, _ = io.WriteString(p.w, text)
}
