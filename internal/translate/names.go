package translate

import "fmt"

// Names maps one sort of name to small indices in order of appearance.
type Names struct {
	index map[string]int
	names []string
}

// In returns the index of a name, giving it one at its first appearance.
func (d *Names) In(name string) int {
	if i, known := d.Find(name); known {
		return i
	}
	if d.index == nil {
		d.index = map[string]int{}
	}
	d.index[name] = len(d.names)
	d.names = append(d.names, name)
	return len(d.names) - 1
}

// Find returns the index of a name that has one.
func (d *Names) Find(name string) (i int, known bool) {
	i, known = d.index[name]
	return i, known
}

// Rename gives an index to another name; the one it had is forgotten.
func (d *Names) Rename(i int, name string) {
	delete(d.index, d.names[i])
	d.index[name], d.names[i] = i, name
}

// Len returns how many indices there are.
func (d *Names) Len() int { return len(d.names) }

// Name returns the name behind an index, or nothing.
func (d *Names) Name(i int) string {
	if i < 0 || i >= len(d.names) {
		return ""
	}
	return d.names[i]
}

// Out returns the name behind an index.
func (d *Names) Out(i int) (string, error) {
	if i < 0 || i >= len(d.names) {
		return "", fmt.Errorf("no id behind index %d", i)
	}
	return d.names[i], nil
}

// All returns the names in the order of their indices.
func (d *Names) All() []string { return d.names }
