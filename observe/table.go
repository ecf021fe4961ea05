package observe

import (
	"strings"
	"unicode/utf8"
)

// column describes one column of a text table.
type column struct {
	title string
	// right aligns the column to the right, for numbers.
	right bool
	// rank is the order in which columns are hidden on a narrow screen: the
	// highest rank is hidden first, and rank 0 is never hidden.
	rank int
}

const (
	columnGap = 2
	// minimumCell is the minimum width of the first column when it is shortened.
	minimumCell = 8
)

// renderTable renders a title line and the rows in lines of at most width
// characters. It hides columns, those of the highest rank first, until the rest
// fits or only columns of rank 0 remain; if they don't fit, it shortens the first
// column. A width of 0 means no bound.
func renderTable(columns []column, rows [][]string, width int) []string {
	widths := columnWidths(columns, rows)
	shown := make([]bool, len(columns))
	for i := range shown {
		shown[i] = true
	}
	for width > 0 && lineWidth(widths, shown) > width && hideOne(columns, shown) {
	}
	if excess := lineWidth(widths, shown) - width; width > 0 && excess > 0 {
		widths[0] = max(minimumCell, widths[0]-excess)
	}
	titles := make([]string, len(columns))
	for i, c := range columns {
		titles[i] = c.title
	}
	lines := []string{renderLine(columns, titles, widths, shown)}
	for _, row := range rows {
		lines = append(lines, renderLine(columns, row, widths, shown))
	}
	return lines
}

func columnWidths(columns []column, rows [][]string) []int {
	widths := make([]int, len(columns))
	for i, c := range columns {
		widths[i] = utf8.RuneCountInString(c.title)
		for _, row := range rows {
			widths[i] = max(widths[i], utf8.RuneCountInString(row[i]))
		}
	}
	return widths
}

func lineWidth(widths []int, shown []bool) int {
	total := -columnGap
	for i, w := range widths {
		if shown[i] {
			total += w + columnGap
		}
	}
	return total
}

// hideOne hides the shown column of the highest rank, the rightmost one of equal
// rank. It reports whether there was a column to hide.
func hideOne(columns []column, shown []bool) bool {
	worst := -1
	for i, c := range columns {
		if shown[i] && c.rank > 0 && (worst < 0 || c.rank >= columns[worst].rank) {
			worst = i
		}
	}
	if worst < 0 {
		return false
	}
	shown[worst] = false
	return true
}

func renderLine(columns []column, cells []string, widths []int, shown []bool) string {
	var b strings.Builder
	for i, cell := range cells {
		if !shown[i] {
			continue
		}
		if b.Len() > 0 {
			b.WriteString(strings.Repeat(" ", columnGap))
		}
		cell = shorten(cell, widths[i])
		padding := strings.Repeat(" ", widths[i]-utf8.RuneCountInString(cell))
		if columns[i].right {
			b.WriteString(padding + cell)
			continue
		}
		b.WriteString(cell + padding)
	}
	return strings.TrimRight(b.String(), " ")
}

// shorten truncates s to width characters, the last of which is then "~".
func shorten(s string, width int) string {
	if utf8.RuneCountInString(s) <= width {
		return s
	}
	runes := []rune(s)
	return string(runes[:max(0, width-1)]) + "~"
}

// wrap breaks text into lines of at most width characters and indents all lines
// but the first. A width of 0 means no bound.
func wrap(text, indent string, width int) []string {
	if width <= 0 || utf8.RuneCountInString(text) <= width {
		return []string{text}
	}
	var lines []string
	line := ""
	for _, word := range strings.Fields(text) {
		joined := line + " " + word
		if line == "" {
			joined = word
		}
		if utf8.RuneCountInString(joined) > width && line != "" {
			lines = append(lines, line)
			joined = indent + word
		}
		line = joined
	}
	return append(lines, line)
}

// printable replaces control characters with "?". Names on the screens can come
// from other machines, and control characters could move the cursor of the
// operator's terminal.
func printable(s string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || (r >= 0x7f && r < 0xa0) {
			return '?'
		}
		return r
	}, s)
}
