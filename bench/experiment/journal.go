package experiment

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"os"
	"time"

	"pollengauge.dev/bench/experiment/play"
)

// Play is one variant played with one seed.
type Play struct {
	Variant string `json:"variant"`
	Seed    uint64 `json:"seed"`
	// Took is the time that the machine needed.
	Took time.Duration `json:"tookNs"`
	// Bound is the worth a second that the slots could earn at most.
	Bound  float64     `json:"bound"`
	Result play.Result `json:"result"`
}

// journalFormat changes when older plays can't be read any more.
const journalFormat = 1

// heading is the first line of a journal.
type heading struct {
	Format int `json:"format"`
	// Workload is the digest of the workload file.
	Workload string `json:"workload"`
}

// journal keeps finished plays, one JSON value a line.
type journal struct {
	path string
	file *os.File
}

// openJournal opens the journal at path and returns the plays that it has. It
// refuses one of another workload. What a crash left of a last line is cut off.
func openJournal(path string, workload []byte) (*journal, []Play, error) {
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return nil, nil, &JournalError{Path: path, Cause: err}
	}
	j := &journal{path: path, file: file}
	plays, err := j.load(headingOf(workload))
	if err != nil {
		_ = file.Close()
		return nil, nil, err
	}
	return j, plays, nil
}

func headingOf(workload []byte) heading {
	digest := sha256.Sum256(workload)
	return heading{Format: journalFormat, Workload: hex.EncodeToString(digest[:])}
}

func (j *journal) load(want heading) ([]Play, error) {
	data, err := io.ReadAll(j.file)
	if err != nil {
		return nil, &JournalError{Path: j.path, Cause: err}
	}
	whole := data[:bytes.LastIndexByte(data, '\n')+1]
	if err := j.cut(int64(len(whole))); err != nil {
		return nil, err
	}
	if len(whole) == 0 {
		return nil, j.write(want)
	}
	decoder := json.NewDecoder(bytes.NewReader(whole))
	var got heading
	if err := decoder.Decode(&got); err != nil {
		return nil, &JournalError{Path: j.path, Cause: err}
	}
	if got != want {
		return nil, &JournalError{Path: j.path, Want: "those of this workload file; move it away to begin anew"}
	}
	var plays []Play
	for decoder.More() {
		var p Play
		if err := decoder.Decode(&p); err != nil {
			return nil, &JournalError{Path: j.path, Cause: err}
		}
		plays = append(plays, p)
	}
	return plays, nil
}

// cut drops what is behind the last whole line.
func (j *journal) cut(size int64) error {
	if err := j.file.Truncate(size); err != nil {
		return &JournalError{Path: j.path, Cause: err}
	}
	if _, err := j.file.Seek(size, io.SeekStart); err != nil {
		return &JournalError{Path: j.path, Cause: err}
	}
	return nil
}

// write appends one line.
func (j *journal) write(value any) error {
	line, err := json.Marshal(value)
	if err == nil {
		_, err = j.file.Write(append(line, '\n'))
	}
	if err != nil {
		return &JournalError{Path: j.path, Cause: err}
	}
	return nil
}

func (j *journal) close() { _ = j.file.Close() }
