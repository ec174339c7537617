package config

import (
	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
)

// Field describes one attribute of a block. Its default is the value that Into points to before the block is read.
type Field struct {
	// Name is the attribute's name in the file.
	Name string

	// Into points to the variable that receives the value: a *string, *float64, *int, *bool, *time.Duration, *[]string
	// or *map[string]string.
	Into any

	// Min and Max are the inclusive limits of a number, or of a duration in seconds. A Max of 0 means maxNumber.
	Min, Max float64

	// OneOf lists the allowed values of a string. If it is empty, any value is allowed.
	OneOf []string

	// Required makes a missing attribute an error.
	Required bool
}

// Block describes one type of nested block. A block either has Fields, or Read is called for each occurrence.
type Block struct {
	Name   string  // type of the block in the file
	Labels int     // exact number of labels
	Max    int     // maximum number of occurrences; 0: no limit
	Fields []Field // attributes of the block if Read is nil
	Read   func(labels []string, body *hclsyntax.Body) hcl.Diagnostics
}

// SingleBlock describes a block without labels that may occur at most once.
func SingleBlock(name string, fields ...Field) Block {
	return Block{Name: name, Max: 1, Fields: fields}
}
