package customer

// Directory finds customers by API key and by name. It is immutable and safe for
// concurrent use.
type Directory struct {
	byKey  map[Digest]*Customer
	byName map[string]*Customer
}

// NewDirectory returns a Directory of a list, which must not be changed afterwards. If
// two customers have the same key or the same name, the first in the list has
// precedence.
func NewDirectory(list []Customer) *Directory {
	keys := 0
	for i := range list {
		keys += len(list[i].Keys)
	}
	d := &Directory{byKey: make(map[Digest]*Customer, keys), byName: make(map[string]*Customer, len(list))}
	for i := range list {
		c := &list[i]
		if _, taken := d.byName[c.Name]; taken {
			continue
		}
		d.byName[c.Name] = c
		for _, key := range c.Keys {
			if _, taken := d.byKey[key]; !taken {
				d.byKey[key] = c
			}
		}
	}
	return d
}

// Empty reports whether there are no customers, in which case callers need no key.
func (d *Directory) Empty() bool { return len(d.byName) == 0 }

// ByDigest returns the customer with the given key, nil if there is none.
func (d *Directory) ByDigest(key Digest) *Customer { return d.byKey[key] }

// ByName returns the customer with the given name, nil if there is none.
func (d *Directory) ByName(name string) *Customer { return d.byName[name] }
