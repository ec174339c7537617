package settings

import "fmt"

// Names assigns small indices to names, in the order of their first appearance. The zero value is empty and ready to
// use. Names is not safe for concurrent use.
type Names struct {
	index map[string]int
	names []string
}

// Intern returns the index of a name. It assigns the next free index to a name without one.
func (n *Names) Intern(name string) int {
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

// Find returns the index of a name, and whether it has one.
func (n *Names) Find(name string) (i int, known bool) {
	i, known = n.index[name]
	return i, known
}

// Rename assigns the index i to another name. The previous name no longer has an index. It panics if i is not in use.
func (n *Names) Rename(i int, name string) {
	delete(n.index, n.names[i])
	n.index[name] = i
	n.names[i] = name
}

// Len returns the number of indices in use.
func (n *Names) Len() int { return len(n.names) }

// Name returns the name with the given index, or the empty string if there is none.
func (n *Names) Name(i int) string {
	if i < 0 || i >= len(n.names) {
		return ""
	}
	return n.names[i]
}

// Lookup returns the name with the given index, or an error if there is none.
func (n *Names) Lookup(i int) (string, error) {
	if i < 0 || i >= len(n.names) {
		return "", fmt.Errorf("no name is assigned to index %d", i)
	}
	return n.names[i], nil
}

// All returns the names in the order of their indices. The caller must not modify the slice.
func (n *Names) All() []string { return n.names }
