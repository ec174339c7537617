package translate

import "fmt"

// Names maps names of one sort to small indices, in the order in which they first appear. The zero value has none. It
// is not safe for concurrent use.
type Names struct {
	index map[string]int
	names []string
}

// In returns the index of a name, which is given one when it first appears.
func (n *Names) In(name string) int {
	if i, known := n.Find(name); known {
		return i
	}
	if n.index == nil {
		n.index = map[string]int{}
	}
	i := len(n.names)
	n.index[name] = i
	n.names = append(n.names, name)
	return i
}

// Find returns the index of a name, if it has one.
func (n *Names) Find(name string) (i int, known bool) {
	i, known = n.index[name]
	return i, known
}

// Rename gives an index to another name; the name it had is forgotten.
func (n *Names) Rename(i int, name string) {
	delete(n.index, n.names[i])
	n.index[name] = i
	n.names[i] = name
}

// Len returns how many indices there are.
func (n *Names) Len() int { return len(n.names) }

// Name returns the name behind an index, or the empty string if there is none.
func (n *Names) Name(i int) string {
	if i < 0 || i >= len(n.names) {
		return ""
	}
	return n.names[i]
}

// Out returns the name behind an index, or an error if there is none.
func (n *Names) Out(i int) (string, error) {
	if i < 0 || i >= len(n.names) {
		return "", fmt.Errorf("no id behind index %d", i)
	}
	return n.names[i], nil
}

// All returns the names in the order of their indices. The caller must not change them.
func (n *Names) All() []string { return n.names }
