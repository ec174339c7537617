package config

import (
	"fmt"
	"time"

	"github.com/hashicorp/hcl/v2/hclwrite"
	"github.com/zclconf/go-cty/cty"
)

// Text returns the settings as HCL, including those with default values. Parse returns equal settings for that text.
func (p *Pilot) Text() []byte {
	f := hclwrite.NewEmptyFile()
	body := f.Body()
	writeFields(body, p.Attributes())
	for _, b := range append(p.Blocks(), p.blocks()...) {
		if len(b.Fields) > 0 {
			body.AppendNewline()
			writeFields(body.AppendNewBlock(b.Name, nil).Body(), b.Fields)
		}
	}
	for i := range p.Kinds {
		body.AppendNewline()
		block := body.AppendNewBlock(requestClassBlock, []string{p.Kinds[i].Name})
		writeFields(block.Body(), p.Kinds[i].fields())
	}
	return f.Bytes()
}

// writeFields writes the fields and their values to body. It omits empty strings, lists and maps.
func writeFields(body *hclwrite.Body, fields []Field) {
	for _, f := range fields {
		if value, ok := f.encode(); ok {
			body.SetAttributeValue(f.Name, value)
		}
	}
}

// encode returns the value of the field's variable, and false if it is an empty string, list or map.
func (f Field) encode() (value cty.Value, ok bool) {
	switch from := f.Into.(type) {
	case *time.Duration:
		return cty.StringVal(from.String()), true
	case *string:
		return cty.StringVal(*from), *from != ""
	case *float64:
		return cty.NumberFloatVal(*from), true
	case *int:
		return cty.NumberIntVal(int64(*from)), true
	case *bool:
		return cty.BoolVal(*from), true
	case *[]string:
		return encodeList(*from), len(*from) > 0
	case *map[string]string:
		return encodeMap(*from), len(*from) > 0
	}
	// Field types are fixed in the source code and don't depend on input, so this is a programming error.
	panic(fmt.Sprintf("can't encode a field of type %T", f.Into))
}

func encodeList(from []string) cty.Value {
	var values []cty.Value
	for _, s := range from {
		values = append(values, cty.StringVal(s))
	}
	return cty.TupleVal(values)
}

func encodeMap(from map[string]string) cty.Value {
	values := map[string]cty.Value{}
	for key, s := range from {
		values[key] = cty.StringVal(s)
	}
	return cty.ObjectVal(values)
}
