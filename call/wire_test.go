package call

import (
	"reflect"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// fill sets each field of a struct to a value other than zero that is within all bounds.
func fill(c *qt.C, v reflect.Value) {
	for i := range v.NumField() {
		field := v.Field(i)
		switch field.Kind() {
		case reflect.String:
			field.SetString("value-" + v.Type().Field(i).Name)
		case reflect.Bool:
			field.SetBool(true)
		case reflect.Float64:
			field.SetFloat(float64(i) + 0.5)
		case reflect.Struct:
			fill(c, field)
		case reflect.Int, reflect.Int64:
			if field.Type() == reflect.TypeFor[time.Duration]() {
				field.SetInt(int64(i+1) * int64(time.Microsecond))
				continue
			}
			field.SetInt(int64(i + 1))
		case reflect.Uint8, reflect.Uint16, reflect.Uint64:
			field.SetUint(uint64(min(i+1, 2)))
		default:
			c.Fatalf("field %s has a kind that this test doesn't fill", v.Type().Field(i).Name)
		}
	}
}

// Guards against a field that is added to Context and not carried between nodes.
func TestEveryContextFieldIsOnTheWire(t *testing.T) {
	c := qt.New(t)
	var want, got Context
	fill(c, reflect.ValueOf(&want).Elem())
	b, err := want.AppendWire(nil)
	c.Assert(err, qt.IsNil)
	rest, err := got.ReadWire(append(b, "rest"...))
	c.Assert(err, qt.IsNil)
	c.Check(got, qt.Equals, want)
	c.Check(string(rest), qt.Equals, "rest")
}

// Guards against a field that is added to Report and not carried between nodes.
func TestEveryReportFieldIsOnTheWire(t *testing.T) {
	c := qt.New(t)
	var want, got Report
	fill(c, reflect.ValueOf(&want).Elem())
	b, err := want.AppendWire(nil)
	c.Assert(err, qt.IsNil)
	rest, err := got.ReadWire(b)
	c.Assert(err, qt.IsNil)
	c.Check(got, qt.Equals, want)
	c.Check(rest, qt.HasLen, 0)
}

// Guards against a newer sender whose appended fields make an older node fail.
func TestWireBlockWithAppendedFieldsIsRead(t *testing.T) {
	c := qt.New(t)
	want := Context{RequestID: "id", Profile: "p", Level: 7}
	b, err := want.AppendWire(nil)
	c.Assert(err, qt.IsNil)
	longer := append([]byte{}, b[:wireHead+contextFixed]...)
	longer = append(longer, 9, 9)
	longer = append(longer, b[wireHead+contextFixed:]...)
	longer = append(longer, 1, 'x')
	longer[2] += 2
	longer, err = endWireBlock(longer, 0)
	c.Assert(err, qt.IsNil)
	var got Context
	rest, err := got.ReadWire(longer)
	c.Assert(err, qt.IsNil)
	c.Check(got, qt.Equals, want)
	c.Check(rest, qt.HasLen, 0)
}

// Guards against a value that the sender lets through and the receiver refuses: such a
// frame would end the connection of other calls.
func TestContextBeyondBoundsIsReducedOrRefusedBySender(t *testing.T) {
	c := qt.New(t)
	sent := Context{RequestID: "id", Profile: "p", Level: MaxLevel, Timeout: time.Hour, Credit: 900, Depth: -1, Progress: 900, RefusedShare: 9000, Ends: 900}
	b, err := sent.AppendWire(nil)
	c.Assert(err, qt.IsNil)
	var got Context
	_, err = got.ReadWire(b)
	c.Assert(err, qt.IsNil)
	c.Check(got, qt.Equals, Context{RequestID: "id", Profile: "p", Level: MaxLevel, Timeout: MaxTimeout, Credit: MaxCredit, Progress: MaxProgress, RefusedShare: maxShare, Ends: maxCrashes})
	_, err = (&Context{RequestID: "a b", Profile: "p"}).AppendWire(nil)
	c.Check(err, qt.ErrorAs, new(*WireError))
	report := Report{Load: 1 << 40, Pressure: -3, Work: 1 << 40, HighestAdmitLevel: 60000, EndsStamp: 1 << 50, Hop: string(make([]byte, 100))}
	b, err = report.AppendWire(nil)
	c.Assert(err, qt.IsNil)
	_, err = new(Report).ReadWire(b)
	c.Check(err, qt.IsNil)
}

// Guards against hostile blocks that crash the reader or are read as out of range.
func FuzzWire(f *testing.F) {
	context, _ := (&Context{RequestID: "id", Profile: "p", Host: "h"}).AppendWire(nil)
	report, _ := (&Report{Outcome: Complete, Hop: "h"}).AppendWire(nil)
	f.Add(context)
	f.Add(report)
	f.Fuzz(func(t *testing.T, b []byte) {
		var c Context
		if _, err := c.ReadWire(b); err == nil {
			again, err := c.AppendWire(nil)
			var same Context
			if err == nil {
				_, err = same.ReadWire(again)
			}
			if err != nil || same != c {
				t.Fatalf("%+v became %+v: %v", c, same, err)
			}
		}
		var r Report
		if _, err := r.ReadWire(b); err == nil {
			again, err := r.AppendWire(nil)
			if r.TargetLoad == malformedTargetLoad {
				r.TargetLoad = TargetLoad{} // marked for the reader, and not sent on
			}
			var same Report
			if err == nil {
				_, err = same.ReadWire(again)
			}
			if err != nil || same != r {
				t.Fatalf("%+v became %+v: %v", r, same, err)
			}
		}
	})
}
