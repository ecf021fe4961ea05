package config_test

import (
	"bytes"
	"compress/gzip"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/config"
)

// FuzzDecodeDocument decodes arbitrary bytes as the object that stores the
// configuration and its history. Nothing may panic, an accepted Document must be
// valid, and reading an earlier Set must return the requested version or a typed
// error.
func FuzzDecodeDocument(f *testing.F) {
	set := config.Default()
	set.Version = 4
	encoded, err := config.Encode(set)
	if err != nil {
		f.Fatal(err)
	}
	var packed bytes.Buffer
	writer := gzip.NewWriter(&packed)
	_, _ = writer.Write(encoded)
	_ = writer.Close()
	earlier := base64.StdEncoding.EncodeToString(packed.Bytes())
	document := `{"set":%s,"changes":[],"earlier":[{"version":%d,"gzip":%q}]}`
	f.Add(fmt.Appendf(nil, document, encoded, 4, earlier))
	f.Add(fmt.Appendf(nil, document, encoded, 3, earlier))
	f.Add(fmt.Appendf(nil, document, encoded, 3, earlier[:40]))
	f.Add(fmt.Appendf(nil, document, encoded, 3, ""))
	f.Add([]byte(`{"set":null,"changes":[{"version":-1}]}`))
	f.Add(bytes.Repeat([]byte(`{"set":`), 5000))
	f.Fuzz(func(t *testing.T, data []byte) {
		c := qt.New(t)
		d, err := config.DecodeDocument(data)
		if err != nil {
			checkTyped(c, err)
			return
		}
		checkUsable(c, d.Set)
		_, err = json.Marshal(d)
		c.Assert(err, qt.IsNil)
		for _, e := range d.Earlier {
			got, err := d.Lookup(e.Version)
			if err != nil {
				checkTyped(c, err)
				continue
			}
			c.Assert(got.Version, qt.Equals, e.Version)
			checkUsable(c, got)
		}
	})
}

func checkTyped(c *qt.C, err error) {
	var encoding *config.EncodingError
	var invalid *config.ValidationError
	c.Assert(errors.As(err, &encoding) || errors.As(err, &invalid), qt.IsTrue, qt.Commentf("%T %v", err, err))
}

// checkUsable checks that a node can activate s and forward it unchanged.
func checkUsable(c *qt.C, s config.Set) {
	c.Helper()
	encoded, err := config.Encode(s)
	c.Assert(err, qt.IsNil)
	_, err = config.Decode(encoded)
	c.Assert(err, qt.IsNil)
	_, err = config.Compile(s)
	c.Assert(err, qt.IsNil)
}
