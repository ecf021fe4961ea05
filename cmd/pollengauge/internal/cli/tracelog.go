package cli

import (
	"bufio"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/go-logfmt/logfmt"
	"github.com/spf13/cobra"
)

// maxLogLineBytes bounds one line of a log file, in bytes.
const maxLogLineBytes = 1 << 20

// NoTraceError means that no log line names the request.
type NoTraceError struct{ Request string }

// Error implements error.
func (e *NoTraceError) Error() string {
	return "no line names request " + e.Request + ": routine decisions are logged for a sample of the requests only"
}

func newTraceLogCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "trace-log ID [FILE...]",
		Short: "Print the decisions about one request from collected logs",
		Long: `Print the decisions about one request, and about the calls made for it, from
collected log files of nodes, or from stdin, in the order of time. Each line
tells what was decided at which step and node, by which inputs, and the outcome.`,
		Example: `  pollengauge trace-log 9c41d07be2a35f68 logs/*.log`,
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			found, err := traceFiles(args[0], args[1:], cmd.InOrStdin())
			if err != nil {
				return err
			}
			if len(found) == 0 {
				return &NoTraceError{Request: args[0]}
			}
			slices.SortStableFunc(found, func(a, b logLine) int { return strings.Compare(a.at, b.at) })
			out := &printer{w: cmd.OutOrStdout()}
			for _, line := range found {
				out.text(line.text + "\n")
			}
			return out.result()
		},
	}
}

// logLine is one line of a log. Its times can be compared as text.
type logLine struct{ at, text string }

func traceFiles(id string, files []string, stdin io.Reader) ([]logLine, error) {
	if len(files) == 0 {
		return traceLines(id, stdin)
	}
	var all []logLine
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		found, err := traceLines(id, file)
		_ = file.Close()
		if err != nil {
			return nil, err
		}
		all = append(all, found...)
	}
	return all, nil
}

// traceLines returns the lines of r whose request is id or a call made for it. It
// skips lines that can't be parsed, because a file may begin in the middle of a line.
func traceLines(id string, r io.Reader) ([]logLine, error) {
	var found []logLine
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLogLineBytes)
	for lines.Scan() {
		text := lines.Text()
		if !strings.Contains(text, id) {
			continue
		}
		at, request := readLogLine(text)
		if request == id || strings.HasPrefix(request, id+".") {
			found = append(found, logLine{at: at, text: text})
		}
	}
	return found, lines.Err()
}

// readLogLine returns the time and the request of a line, "" for those it lacks.
func readLogLine(text string) (at, request string) {
	decoder := logfmt.NewDecoder(strings.NewReader(text))
	if !decoder.ScanRecord() {
		return "", ""
	}
	for decoder.ScanKeyval() {
		switch string(decoder.Key()) {
		case "ts":
			at = string(decoder.Value())
		case "request":
			request = string(decoder.Value())
		}
	}
	return at, request
}
