package config

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
)

// Limits on a source text. HCL's parser recurses into nested constructs, and a Go process that exhausts its stack is
// killed without a chance to recover, so excessive nesting must be detected before the text is parsed.
const (
	MaxBytes     = 16 << 20 // of a source text
	maxNesting   = 200      // blocks, lists, templates and parentheses inside each other
	maxOperators = 10000    // operators that the parser recurses into: ! - ?
)

// ReadFile reads a file for Open. It reads at most one byte more than MaxBytes, so that Open still rejects a longer
// file.
func ReadFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // opened for reading only: closing it can't lose data
	return io.ReadAll(io.LimitReader(f, MaxBytes+1))
}

// Open checks the size of a text, parses it and returns its body. The name of the file is for diagnostics.
func Open(name string, text []byte) (*hclsyntax.Body, hcl.Diagnostics) {
	if diags := checkSize(name, text); diags.HasErrors() {
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

// checkSize rejects a text that is too long or nested too deeply.
func checkSize(name string, text []byte) hcl.Diagnostics {
	if len(text) > MaxBytes {
		start := hcl.Range{Filename: name, Start: hcl.InitialPos}
		return hcl.Diagnostics{Diagnostic(start, "longer than %d bytes", MaxBytes)}
	}
	tokens, _ := hclsyntax.LexConfig(text, name, hcl.InitialPos) // the parser reports lexical errors
	depth, operators := 0, 0
	for _, token := range tokens {
		switch token.Type {
		case hclsyntax.TokenOBrace, hclsyntax.TokenOBrack, hclsyntax.TokenOParen, hclsyntax.TokenTemplateInterp,
			hclsyntax.TokenTemplateControl:
			depth++
		case hclsyntax.TokenCBrace, hclsyntax.TokenCBrack, hclsyntax.TokenCParen, hclsyntax.TokenTemplateSeqEnd:
			depth--
		case hclsyntax.TokenBang, hclsyntax.TokenMinus, hclsyntax.TokenQuestion:
			operators++
		}
		if depth > maxNesting || operators > maxOperators {
			return hcl.Diagnostics{
				Diagnostic(token.Range, "nested deeper than %d, or more than %d signs", maxNesting, maxOperators),
			}
		}
	}
	return nil
}

// Diagnostic returns an error at a position of the source.
func Diagnostic(at hcl.Range, format string, args ...any) *hcl.Diagnostic {
	return &hcl.Diagnostic{Severity: hcl.DiagError, Summary: fmt.Sprintf(format, args...), Subject: &at}
}

// DiagnosticsError joins diagnostics into one error with a line for each: "file:line:column: summary; detail".
func DiagnosticsError(diags hcl.Diagnostics) error {
	var errs []error
	for _, d := range diags {
		text := d.Summary
		if d.Detail != "" {
			text += "; " + d.Detail
		}
		if d.Subject != nil {
			start := d.Subject.Start
			text = fmt.Sprintf("%s:%d:%d: %s", d.Subject.Filename, start.Line, start.Column, text)
		}
		errs = append(errs, errors.New(text))
	}
	return errors.Join(errs...)
}
