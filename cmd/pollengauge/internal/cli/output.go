package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// printer writes the result of a command and stores the first write error, so that
// a closed pipe or a full disk is not reported as success.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format, args...)
	}
}

func (p *printer) text(s string) {
	if p.err == nil {
		_, p.err = io.WriteString(p.w, s)
	}
}

// table writes rows in aligned columns; the first row is the heading.
func (p *printer) table(rows [][]string) {
	if p.err != nil {
		return
	}
	const gap = 2
	w := tabwriter.NewWriter(p.w, 0, 0, gap, ' ', 0)
	for _, row := range rows {
		_, _ = io.WriteString(w, strings.Join(row, "\t")+"\n")
	}
	p.err = w.Flush()
}

// result returns an *OutputError if anything could not be written.
func (p *printer) result() error {
	if p.err == nil {
		return nil
	}
	return &OutputError{Cause: p.err}
}

// writeJSON writes one value as indented JSON.
func writeJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(value); err != nil {
		return &OutputError{Cause: err}
	}
	return nil
}

// orDash returns s, or "-" for an empty table cell.
func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
