package config

import (
	"fmt"
	"time"

	"github.com/hashicorp/hcl/v2/hclwrite"
	"github.com/zclconf/go-cty/cty"
)

// Text lays the terms out as HCL, defaults included. Parse reads the same from it.
func (p *Pilot) Text() []byte {
	f := hclwrite.NewEmptyFile()
	body := f.Body()
	put(body, p.Common.Attributes())
	for _, s := range append(p.Common.Blocks(), p.subs()...) {
		if len(s.Fields) > 0 {
			body.AppendNewline()
			put(body.AppendNewBlock(s.Name, nil).Body(), s.Fields)
		}
	}
	for i := range p.Kinds {
		body.AppendNewline()
		put(body.AppendNewBlock("req_kind", []string{p.Kinds[i].Name}).Body(), p.Kinds[i].fields())
	}
	return f.Bytes()
}

// put writes fields; texts, lists and maps that are empty are left out.
func put(body *hclwrite.Body, fields []Field) {
	for _, f := range fields {
		if v, there := f.value(); there {
			body.SetAttributeValue(f.Name, v)
		}
	}
}

func (f Field) value() (v cty.Value, there bool) {
	switch x := f.Into.(type) {
	case *time.Duration:
		return cty.StringVal(x.String()), true
	case *string:
		return cty.StringVal(*x), *x != ""
	case *float64:
		return cty.NumberFloatVal(*x), true
	case *int:
		return cty.NumberIntVal(int64(*x)), true
	case *bool:
		return cty.BoolVal(*x), true
	case *[]string:
		var list []cty.Value
		for _, s := range *x {
			list = append(list, cty.StringVal(s))
		}
		return cty.TupleVal(list), len(list) > 0
	case *map[string]string:
		all := map[string]cty.Value{}
		for k, s := range *x {
			all[k] = cty.StringVal(s)
		}
		return cty.ObjectVal(all), len(all) > 0
	}
	panic(fmt.Sprintf("a field of type %T can't be written", f.Into)) // of the program itself, not of any file
}
