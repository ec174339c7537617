package config

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
)

// Limits on a source text. HCL's parser recurses into nested constructs, and Go can't recover from a stack overflow, so
// excessive nesting must be detected before the text is parsed.
const (
	MaxBytes     = 16 << 20 // maximum size of a source text
	maxNesting   = 200      // maximum depth of nested blocks, lists, templates and parentheses
	maxOperators = 10000    // maximum number of operators whose operands the parser parses recursively: ! - ?
)

// ReadFile reads a file for ParseBody. It reads at most MaxBytes+1 bytes, which suffices for ParseBody to detect and
// reject a file that is too long.
func ReadFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // no data can be lost, because the file is open for reading only
	return io.ReadAll(io.LimitReader(f, MaxBytes+1))
}

// ParseBody checks the size and nesting of a text, parses it and returns its body. The name of the file is used in
// diagnostics.
func ParseBody(name string, text []byte) (*hclsyntax.Body, hcl.Diagnostics) {
	if diags := checkSize(name, text); diags.HasErrors() {
		return nil, diags
	}
	f, diags := hclsyntax.ParseConfig(text, name, hcl.InitialPos)
	if diags.HasErrors() {
		return nil, diags
	}
	body, ok := f.Body.(*hclsyntax.Body)
	if !ok {
		return nil, hcl.Diagnostics{{Severity: hcl.DiagError, Summary: "the text is not in HCL's native syntax"}}
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
				Diagnostic(token.Range, "nested deeper than %d, or more than %d operators", maxNesting, maxOperators),
			}
		}
	}
	return nil
}

// Diagnostic returns a diagnostic of severity error at a position of the source. The arguments format its summary as in
// fmt.Sprintf.
func Diagnostic(at hcl.Range, format string, args ...any) *hcl.Diagnostic {
	return &hcl.Diagnostic{Severity: hcl.DiagError, Summary: fmt.Sprintf(format, args...), Subject: &at}
}

// DiagnosticsError joins diagnostics into one error with one line per diagnostic, in the form "file:line:column:
// summary; detail". It returns nil if there are none.
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
