package config

import (
	"fmt"
	"strings"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
)

// DecodeBody decodes a body into the variables of its fields and blocks. It reports attributes and blocks that are
// unknown, missing, malformed or out of range.
func DecodeBody(body *hclsyntax.Body, fields []Field, blocks []Block) hcl.Diagnostics {
	diags := readFields(body, fields)
	diags = append(diags, unknownAttributes(body, fields)...)
	return append(diags, readBlocks(body, blocks)...)
}

// readFields decodes the attributes of a body into the variables of the fields.
func readFields(body *hclsyntax.Body, fields []Field) (diags hcl.Diagnostics) {
	for _, f := range fields {
		attribute := body.Attributes[f.Name]
		if attribute == nil {
			if f.Required {
				diags = append(diags, Diagnostic(body.MissingItemRange(), "%q is missing", f.Name))
			}
			continue
		}
		if err := f.decode(attribute.Expr); err != nil {
			diags = append(diags, Diagnostic(attribute.Expr.Range(), "%s: %v", f.Name, err))
		}
	}
	return diags
}

// unknownAttributes reports the attributes of a body that are not among the fields.
func unknownAttributes(body *hclsyntax.Body, fields []Field) (diags hcl.Diagnostics) {
	known := map[string]bool{}
	for _, f := range fields {
		known[f.Name] = true
	}
	for name, attribute := range body.Attributes {
		if !known[name] {
			diags = append(diags, Diagnostic(attribute.NameRange, "%q is not known here%s", name, suggestion(name, fields)))
		}
	}
	return diags
}

// suggestion returns a hint that names a field similar to an unknown attribute; "" if there is none.
func suggestion(name string, fields []Field) string {
	const prefix = 4 // number of leading bytes that similar names have in common
	for _, f := range fields {
		if strings.EqualFold(f.Name, name) || len(name) >= prefix && strings.HasPrefix(f.Name, name[:prefix]) {
			return fmt.Sprintf("; did you mean %q?", f.Name)
		}
	}
	return ""
}

// readBlocks decodes the nested blocks of a body.
func readBlocks(body *hclsyntax.Body, blocks []Block) (diags hcl.Diagnostics) {
	occurrences := map[string]int{}
	for _, found := range body.Blocks {
		b := findBlock(blocks, found.Type)
		if b == nil {
			diags = append(diags, Diagnostic(found.TypeRange, "block %q is not known here", found.Type))
			continue
		}
		occurrences[b.Name]++
		diags = append(diags, b.read(found, occurrences[b.Name])...)
	}
	return diags
}

// findBlock returns the description of the block type of that name; nil if there is none.
func findBlock(blocks []Block, name string) *Block {
	for i := range blocks {
		if blocks[i].Name == name {
			return &blocks[i]
		}
	}
	return nil
}

// read decodes one block. occurrence is the number of this block among those of its type, from 1.
func (b *Block) read(found *hclsyntax.Block, occurrence int) hcl.Diagnostics {
	switch {
	case len(found.Labels) != b.Labels:
		return hcl.Diagnostics{Diagnostic(found.TypeRange, "block %q must have %d labels", found.Type, b.Labels)}
	case b.Max > 0 && occurrence > b.Max:
		return hcl.Diagnostics{Diagnostic(found.TypeRange, "too many %q blocks", found.Type)}
	case b.Read == nil:
		return DecodeBody(found.Body, b.Fields, nil)
	default:
		return b.Read(found.Labels, found.Body)
	}
}
