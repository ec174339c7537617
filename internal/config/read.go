// Package config reads what a pilot is told at its start, from HCL, checks it and gives each package its typed part.
// Every complaint names file, line and column. It opens no file but the one it is given and applies nothing.
package config

import (
	"fmt"
	"io"
	"math"
	"os"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
	"github.com/zclconf/go-cty/cty"
	"github.com/zclconf/go-cty/cty/convert"
	"github.com/zclconf/go-cty/cty/gocty"
)

// Field is one attribute that a block may hold: its name and where its value goes. What Into points at is the
// default. Least and Most bound numbers and the seconds of spans; OneOf bounds texts.
type Field struct {
	Name        string
	Into        any // *string, *float64, *int, *bool, *time.Duration, *[]string, *map[string]string
	Least, Most float64
	OneOf       []string
	Needed      bool
}

// Block is a sort of block inside another: it has Fields, or Read is called for each with its labels.
type Block struct {
	Name   string
	Labels int
	Most   int // how many there may be; 0: any number
	Fields []Field
	Read   func(labels []string, body *hclsyntax.Body) hcl.Diagnostics
}

// Bounds of a text. HCL's parser calls itself for what is nested, and a process that runs out of stack ends without
// a word: that a text is too deep has to be seen before it is parsed.
const (
	MostBytes = 16 << 20
	mostDeep  = 200   // blocks, lists, templates and parentheses within one another
	mostSigns = 10000 // signs that take what follows them: ! - ?

	mostElements = 4096 // of a list or map
)

// ReadFile reads a file for Open, no further than its bound.
func ReadFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return io.ReadAll(io.LimitReader(f, MostBytes+1))
}

// bounded complains of a text that is too long or too deep.
func bounded(name string, text []byte) hcl.Diagnostics {
	if len(text) > MostBytes {
		return hcl.Diagnostics{complaint(hcl.Range{Filename: name, Start: hcl.InitialPos}, "longer than %d bytes", MostBytes)}
	}
	tokens, _ := hclsyntax.LexConfig(text, name, hcl.InitialPos) // what is wrong with them the parser says
	deep, signs := 0, 0
	for _, t := range tokens {
		switch t.Type {
		case hclsyntax.TokenOBrace, hclsyntax.TokenOBrack, hclsyntax.TokenOParen, hclsyntax.TokenTemplateInterp,
			hclsyntax.TokenTemplateControl:
			deep++
		case hclsyntax.TokenCBrace, hclsyntax.TokenCBrack, hclsyntax.TokenCParen, hclsyntax.TokenTemplateSeqEnd:
			deep--
		case hclsyntax.TokenBang, hclsyntax.TokenMinus, hclsyntax.TokenQuestion:
			signs++
		}
		if deep > mostDeep || signs > mostSigns {
			return hcl.Diagnostics{complaint(t.Range, "nested deeper than %d, or more than %d signs", mostDeep, mostSigns)}
		}
	}
	return nil
}

// Open parses a text and returns its body.
func Open(name string, text []byte) (*hclsyntax.Body, hcl.Diagnostics) {
	if diags := bounded(name, text); diags.HasErrors() {
		return nil, diags
	}
	f, diags := hclsyntax.ParseConfig(text, name, hcl.InitialPos)
	if diags.HasErrors() {
		return nil, diags
	}
	body, ok := f.Body.(*hclsyntax.Body)
	if !ok {
		return nil, hcl.Diagnostics{{Severity: hcl.DiagError, Summary: "Not in HCL's native syntax"}}
	}
	return body, nil
}

// Read takes a body apart by its fields and blocks and complains of all that is unknown, missing or out of range.
func Read(body *hclsyntax.Body, fields []Field, subs []Block) hcl.Diagnostics {
	var diags hcl.Diagnostics
	known := map[string]bool{}
	for _, f := range fields {
		known[f.Name] = true
		a := body.Attributes[f.Name]
		if a == nil {
			if f.Needed {
				diags = append(diags, complaint(body.MissingItemRange(), "%q is missing", f.Name))
			}
			continue
		}
		if err := f.take(a.Expr); err != nil {
			diags = append(diags, complaint(a.Expr.Range(), "%s: %v", f.Name, err))
		}
	}
	for name, a := range body.Attributes {
		if !known[name] {
			diags = append(diags, complaint(a.NameRange, "%q is not known here%s", name, nearest(name, fields)))
		}
	}
	return append(diags, readSubs(body, subs)...)
}

func readSubs(body *hclsyntax.Body, subs []Block) (diags hcl.Diagnostics) {
	seen := map[string]int{}
next:
	for _, b := range body.Blocks {
		for _, s := range subs {
			if s.Name != b.Type {
				continue
			}
			seen[s.Name]++
			switch {
			case len(b.Labels) != s.Labels:
				diags = append(diags, complaint(b.TypeRange, "%q takes %d names", b.Type, s.Labels))
			case s.Most > 0 && seen[s.Name] > s.Most:
				diags = append(diags, complaint(b.TypeRange, "%q stands here once too often", b.Type))
			case s.Read == nil:
				diags = append(diags, Read(b.Body, s.Fields, nil)...)
			default:
				diags = append(diags, s.Read(b.Labels, b.Body)...)
			}
			continue next
		}
		diags = append(diags, complaint(b.TypeRange, "block %q is not known here", b.Type))
	}
	return diags
}

func complaint(at hcl.Range, format string, args ...any) *hcl.Diagnostic {
	return &hcl.Diagnostic{Severity: hcl.DiagError, Summary: fmt.Sprintf(format, args...), Subject: &at}
}

// nearest hints at a field that differs little from an unknown name.
func nearest(name string, fields []Field) string {
	for _, f := range fields {
		if strings.EqualFold(f.Name, name) || len(name) > 3 && (strings.HasPrefix(f.Name, name[:4])) {
			return fmt.Sprintf("; is %q meant?", f.Name)
		}
	}
	return ""
}

// take evaluates an expression into the field.
func (f Field) take(e hclsyntax.Expression) error {
	v, diags := e.Value(nil)
	if diags.HasErrors() {
		return diags
	}
	if v.IsNull() || !v.IsWhollyKnown() {
		return fmt.Errorf("a value is wanted")
	}
	if v.CanIterateElements() && v.LengthInt() > mostElements { // converting them takes time by their square
		return fmt.Errorf("%d elements, %d may be", v.LengthInt(), mostElements)
	}
	switch into := f.Into.(type) {
	case *time.Duration:
		return f.span(v, into)
	case *string:
		if err := as(v, cty.String, into); err != nil {
			return err
		}
		return f.oneOf(*into)
	case *float64:
		if err := as(v, cty.Number, into); err != nil {
			return err
		}
		return f.inside(*into)
	case *int:
		if err := as(v, cty.Number, into); err != nil {
			return err
		}
		return f.inside(float64(*into))
	case *bool:
		return as(v, cty.Bool, into)
	case *[]string:
		*into = nil
		return as(v, cty.List(cty.String), into)
	case *map[string]string:
		*into = nil
		return as(v, cty.Map(cty.String), into)
	}
	return fmt.Errorf("a field of type %T can't be read", f.Into)
}

func as(v cty.Value, t cty.Type, into any) error {
	c, err := convert.Convert(v, t)
	if err != nil {
		return err
	}
	return gocty.FromCtyValue(c, into)
}

func (f Field) span(v cty.Value, into *time.Duration) error {
	var text string
	if err := as(v, cty.String, &text); err != nil {
		return err
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("a span such as \"300ms\" or \"2s\" is wanted, not %q", text)
	}
	*into = d
	return f.inside(d.Seconds())
}

// mostNumber bounds numbers and the seconds of spans that no field bounds closer.
const mostNumber = 1e12

func (f Field) inside(v float64) error {
	most := f.Most
	if most == 0 {
		most = mostNumber
	}
	if math.IsNaN(v) || v < f.Least || v > most {
		return fmt.Errorf("%g is outside %g to %g", v, f.Least, most)
	}
	return nil
}

func (f Field) oneOf(v string) error {
	if len(f.OneOf) == 0 {
		return nil
	}
	for _, o := range f.OneOf {
		if o == v {
			return nil
		}
	}
	return fmt.Errorf("%q is none of %s", v, strings.Join(f.OneOf, ", "))
}
