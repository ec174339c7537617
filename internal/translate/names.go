package translate

import "fmt"

// Names maps one sort of name to small indices in order of appearance.
type Names struct {
	index map[string]int
	names []string
}

// In returns the index of a name, giving it one at its first appearance.
func (n *Names) In(name string) int {
	if i, known := n.Find(name); known {
		return i
	}
	if n.index == nil {
		n.index = map[string]int{}
	}
	n.index[name] = len(n.names)
	n.names = append(n.names, name)
	return len(n.names) - 1
}

// Find returns the index of a name that has one.
func (n *Names) Find(name string) (i int, known bool) {
	i, known = n.index[name]
	return i, known
}

// Rename gives an index to another name; the one it had is forgotten.
func (n *Names) Rename(i int, name string) {
	delete(n.index, n.names[i])
	n.index[name], n.names[i] = i, name
}

// Len returns how many indices there are.
func (n *Names) Len() int { return len(n.names) }

// Name returns the name behind an index, or nothing.
func (n *Names) Name(i int) string {
	if i < 0 || i >= len(n.names) {
		return ""
	}
	return n.names[i]
}

// Out returns the name behind an index.
func (n *Names) Out(i int) (string, error) {
	if i < 0 || i >= len(n.names) {
		return "", fmt.Errorf("no id behind index %d", i)
	}
	return n.names[i], nil
}

// All returns the names in the order of their indices.
func (n *Names) All() []string { return n.names }
