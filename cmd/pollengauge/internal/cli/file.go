package cli

import (
	"io"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"pollengauge.dev/config"
)

// stdinName is the file name that stands for standard input.
const stdinName = "-"

// maxFileBytes is the largest file accepted, in bytes. It is a multiple of the limit of
// an encoded Set because YAML with comments takes more space.
const maxFileBytes = 4 * config.MaxEncoded

func bindFile(cmd *cobra.Command, file *string) {
	cmd.Flags().StringVarP(file, "file", "f", "", "profile set as YAML or, by the name *.json, as JSON; - reads YAML or JSON from stdin")
	_ = cmd.MarkFlagRequired("file")
}

// readSet reads and validates the Set in a file.
func readSet(cmd *cobra.Command, file string) (config.Set, error) {
	data, err := readFile(cmd.InOrStdin(), file)
	if err != nil {
		return config.Set{}, &FileError{File: file, Cause: err}
	}
	set, err := config.Parse(data, formatOf(file))
	if err != nil {
		return config.Set{}, &FileError{File: file, Cause: err}
	}
	return set, nil
}

func readFile(stdin io.Reader, file string) ([]byte, error) {
	if file == stdinName {
		return readBounded(stdin)
	}
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	return readBounded(f)
}

func readBounded(r io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, maxFileBytes+1))
	if err == nil && len(data) > maxFileBytes {
		err = &config.EncodingError{Want: "at most 1 MiB"}
	}
	return data, err
}

// formatOf returns JSON for names that end in .json and YAML for all others,
// including stdin: YAML is a superset of JSON.
func formatOf(file string) config.Format {
	if filepath.Ext(file) == ".json" {
		return config.JSON
	}
	return config.YAML
}
