package settings

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestRename checks that repeated renaming of an index leaves only the last name, and adds no indices.
func TestRename(t *testing.T) {
	var d Names
	d.Intern("a")
	for i := range 100 {
		d.Rename(d.Intern("b"), fmt.Sprint("c", i))
		d.Rename(1, "b")
	}
	assert.Equal(t, 2, d.Len())
	assert.Len(t, d.index, 2)
	assert.Equal(t, []string{"a", "b"}, d.All())
	_, known := d.Find("c7")
	assert.False(t, known)
	assert.Equal(t, "", d.Name(2))
}
