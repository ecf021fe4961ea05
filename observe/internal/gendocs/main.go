// Command gendocs generates docs/EVENTS.md and docs/METRICS.md. It must be run in
// the folder of the module: go run ./internal/gendocs
package main

import (
	"os"
	"path/filepath"

	"pollengauge.dev/observe/internal/pages"
)

const (
	folder   = "../docs"
	fileMode = 0o644
)

func main() {
	if err := write(); err != nil {
		_, _ = os.Stderr.WriteString(err.Error() + "\n")
		os.Exit(1)
	}
}

func write() error {
	for name, text := range pages.Pages() {
		if err := os.WriteFile(filepath.Join(folder, name), []byte(text), fileMode); err != nil {
			return err
		}
	}
	return nil
}
