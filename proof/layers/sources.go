package layers

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path"
	"slices"
	"strconv"
	"strings"
)

// projectPath is the prefix of the import path of every package of the project.
const projectPath = "pollengauge.dev/"

// Import is an import of one of the project's packages.
type Import struct {
	// File is the importing file, Package the folder of the imported package.
	File, Package string
}

func (i Import) folder() string { return path.Dir(i.File) }

// Sources holds the package folders of a source tree and the imports between
// the project's packages.
type Sources struct {
	// Folders are the folders with source files.
	Folders []string
	Imports []Import
}

// ReadSources reads all source files of a tree, including files for other
// operating systems. It skips test files, test data and hidden folders.
func ReadSources(tree fs.FS) (Sources, error) {
	var sources Sources
	err := fs.WalkDir(tree, ".", func(name string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return &SourceError{File: name, Cause: err}
		case entry.IsDir() && skipped(name):
			return fs.SkipDir
		case entry.IsDir(), !strings.HasSuffix(name, ".go"), strings.HasSuffix(name, "_test.go"):
			return nil
		}
		return sources.add(tree, name)
	})
	return sources, err
}

func skipped(folder string) bool {
	base := path.Base(folder)
	return folder != "." && (strings.HasPrefix(base, ".") || base == "testdata")
}

// add records the folder and the imports of one source file.
func (s *Sources) add(tree fs.FS, name string) error {
	source, err := fs.ReadFile(tree, name)
	if err != nil {
		return &SourceError{File: name, Cause: err}
	}
	file, err := parser.ParseFile(token.NewFileSet(), name, source, parser.ImportsOnly)
	if err != nil {
		return &SourceError{File: name, Cause: err}
	}
	if folder := path.Dir(name); !slices.Contains(s.Folders, folder) {
		s.Folders = append(s.Folders, folder)
	}
	for _, spec := range file.Imports {
		imported, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			return &SourceError{File: name, Cause: err}
		}
		if folder, ours := strings.CutPrefix(imported, projectPath); ours {
			s.Imports = append(s.Imports, Import{File: name, Package: folder})
		}
	}
	return nil
}
