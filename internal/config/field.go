package config

import (
	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
)

// Field describes one attribute that a block may hold. Its default is the value that Into points at.
type Field struct {
	Name string

	// Into points at the variable that receives the value: a *string, *float64, *int, *bool, *time.Duration, *[]string
	// or *map[string]string.
	Into any

	// Min and Max bound numbers, and durations in seconds. A Max of 0 means maxNumber.
	Min, Max float64

	// OneOf lists the values that a string may have; none means any value.
	OneOf []string

	// Required makes a missing attribute an error.
	Required bool
}

// Block describes one type of nested block. A block either has Fields, or Read is called for each occurrence.
type Block struct {
	Name   string
	Labels int // exact number of labels
	Max    int // occurrences that are allowed; 0 means any number
	Fields []Field
	Read   func(labels []string, body *hclsyntax.Body) hcl.Diagnostics
}

// SingleBlock describes a block without labels that may occur once.
func SingleBlock(name string, fields ...Field) Block {
	return Block{Name: name, Max: 1, Fields: fields}
}
