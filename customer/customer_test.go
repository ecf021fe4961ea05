package customer

import (
	"encoding/json"
	"math"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against exposing API keys: a key is accepted at every node, so it must not
// occur in anything that is stored, forwarded or shown.
func TestKeysAreNotStoredOrShown(t *testing.T) {
	c := qt.New(t)
	const secret = "kmgjqnirth5mgjy5rcpi"
	list := []Customer{{Name: "a", Keys: []Digest{DigestOf(secret)}}, {Name: "b", Keys: []Digest{DigestOf(secret)}}}
	data, err := json.Marshal(list)
	c.Assert(err, qt.IsNil)
	c.Check(strings.Contains(string(data), secret), qt.IsFalse)
	for _, problem := range Validate(list) {
		c.Check(strings.Contains(problem.Error(), secret), qt.IsFalse)
	}
	var read []Customer
	err = json.Unmarshal([]byte(`[{"name":"a","keyDigests":["`+secret+`"]}]`), &read)
	c.Assert(err, qt.IsNotNil)
	c.Check(strings.Contains(err.Error(), secret), qt.IsFalse, qt.Commentf("a key in the place of a digest"))
}

func TestDigestTextRoundTrip(t *testing.T) {
	c := qt.New(t)
	want := DigestOf("one")
	data, err := json.Marshal(want)
	c.Assert(err, qt.IsNil)
	var got Digest
	c.Assert(json.Unmarshal(data, &got), qt.IsNil)
	c.Check(got, qt.Equals, want)
	for _, wrong := range []string{"", "00", strings.Repeat("g", 32), strings.Repeat("A", 32), strings.Repeat("0", 33)} {
		c.Check(new(Digest).UnmarshalText([]byte(wrong)), qt.ErrorAs, new(*DigestError))
	}
}

func TestDirectoryFindsHolders(t *testing.T) {
	c := qt.New(t)
	d := NewDirectory([]Customer{
		{Name: "a", Keys: []Digest{DigestOf("1"), DigestOf("2")}},
		{Name: "b", Keys: []Digest{DigestOf("2"), DigestOf("3")}},
		{Name: "a", Keys: []Digest{DigestOf("4")}},
	})
	for key, name := range map[string]string{"1": "a", "2": "a", "3": "b"} {
		c.Check(d.ByDigest(DigestOf(key)).Name, qt.Equals, name)
	}
	for _, key := range []string{"4", "", "5"} {
		c.Check(d.ByDigest(DigestOf(key)), qt.IsNil, qt.Commentf("%q", key))
	}
	c.Check(d.ByName("b").Keys, qt.HasLen, 2)
	c.Check(d.Empty(), qt.IsFalse)
	c.Check(NewDirectory(nil).Empty(), qt.IsTrue)
}

// Validate reports all problems of a list; each one names the customer and the field.
func TestValidateNamesCustomerAndField(t *testing.T) {
	c := qt.New(t)
	one := DigestOf("1")
	many := make([]Digest, MaxKeys+1)
	for i := range many {
		many[i] = DigestOf("many" + strconv.Itoa(i))
	}
	for name, test := range map[string]struct {
		list            []Customer
		customer, field string
	}{
		"shared key":       {[]Customer{{Name: "a", Keys: []Digest{one}}, {Name: "b", Keys: []Digest{one}}}, `"b"`, "keyDigests[0]"},
		"key twice":        {[]Customer{{Name: "a", Keys: []Digest{one, one}}}, `"a"`, "keyDigests[1]"},
		"no name":          {[]Customer{{Name: "a"}, {}}, "number 2", "name"},
		"same name":        {[]Customer{{Name: "a"}, {Name: "a"}}, `"a"`, "name"},
		"control":          {[]Customer{{Name: "a\nb"}}, "number 1", "name"},
		"space":            {[]Customer{{Name: " a"}}, "number 1", "name"},
		"long name":        {[]Customer{{Name: strings.Repeat("n", MaxNameLength+1)}}, "number 1", "name"},
		"too many keys":    {[]Customer{{Name: "a", Keys: many}}, `"a"`, "keyDigests"},
		"priority":         {[]Customer{{Name: "a", Priority: 16}}, `"a"`, "priority"},
		"negative rate":    {[]Customer{{Name: "a", Rate: -1}}, `"a"`, "rate"},
		"no number":        {[]Customer{{Name: "a", Rate: math.NaN()}}, `"a"`, "rate"},
		"infinite burst":   {[]Customer{{Name: "a", Burst: math.Inf(1)}}, `"a"`, "burst"},
		"negative weight":  {[]Customer{{Name: "a", Weight: -1}}, `"a"`, "weight"},
		"large weight":     {[]Customer{{Name: "a", Weight: MaxWeight + 1}}, `"a"`, "weight"},
		"weight no number": {[]Customer{{Name: "a", Weight: math.NaN()}}, `"a"`, "weight"},
		"weight":           {[]Customer{{Name: "a", Weight: MaxWeight}, {Name: "b", Weight: 0.001}, {Name: "c"}}, "", ""},
		"many customers":   {numbered(MaxCustomers + 1), strconv.Itoa(MaxCustomers + 1), "customers"},
		"the most allowed": {numbered(MaxCustomers), "", ""},
	} {
		problems := Validate(test.list)
		if test.field == "" {
			c.Check(problems, qt.HasLen, 0, qt.Commentf(name))
			continue
		}
		c.Assert(problems, qt.HasLen, 1, qt.Commentf(name))
		c.Check(problems[0].Customer, qt.Equals, test.customer, qt.Commentf(name))
		c.Check(problems[0].Field, qt.Equals, test.field, qt.Commentf(name))
	}
}

// Guards against a weight that removes a customer from the ranking: a node takes configurations that
// another build has checked.
func TestInvalidWeightsCountAsTheDefault(t *testing.T) {
	c := qt.New(t)
	for _, weight := range []float64{0, -1, MaxWeight + 1, math.NaN(), math.Inf(1)} {
		c.Check((&Customer{Weight: weight}).ShareWeight(), qt.Equals, 1.0)
	}
	c.Check((&Customer{Weight: 3}).ShareWeight(), qt.Equals, 3.0)
}

func numbered(count int) []Customer {
	list := make([]Customer, count)
	for i := range list {
		list[i].Name = "c" + strconv.Itoa(i)
	}
	return list
}

func BenchmarkHolder(b *testing.B) {
	for _, count := range []int{78, 20_000} {
		list := numbered(count)
		const keysEach = 10
		for i := range list {
			for k := range keysEach {
				list[i].Keys = append(list[i].Keys, DigestOf("a secret key of "+strconv.Itoa(i*keysEach+k)))
			}
		}
		d := NewDirectory(list)
		b.Run(strconv.Itoa(count), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				if d.ByDigest(DigestOf("a secret key of 77"+keyTails[i%2])) == nil {
					b.Fatal("not found")
				}
			}
		})
	}
}

var keyTails = [2]string{"1", "2"}
