package config

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2/hclsyntax"
	"github.com/zclconf/go-cty/cty"
	"github.com/zclconf/go-cty/cty/convert"
	"github.com/zclconf/go-cty/cty/gocty"
)

const (
	// maxElements limits the length of a list or map, because the time to convert one is quadratic in its length.
	maxElements = 4096

	// maxNumber is the maximum of numbers, and of durations in seconds, if the field's Max is 0.
	maxNumber = 1e12
)

// errNoValue is returned for an expression that is null or whose value is not known.
var errNoValue = errors.New("a value is required")

// decode evaluates an expression, checks its value and assigns it to the field's variable.
func (f Field) decode(expression hclsyntax.Expression) error {
	value, err := evaluate(expression)
	if err != nil {
		return err
	}
	switch into := f.Into.(type) {
	case *time.Duration:
		return f.decodeDuration(value, into)
	case *string:
		if err := convertTo(value, cty.String, into); err != nil {
			return err
		}
		return f.checkOneOf(*into)
	case *float64:
		if err := convertTo(value, cty.Number, into); err != nil {
			return err
		}
		return f.checkBounds(*into)
	case *int:
		if err := convertTo(value, cty.Number, into); err != nil {
			return err
		}
		return f.checkBounds(float64(*into))
	case *bool:
		return convertTo(value, cty.Bool, into)
	case *[]string:
		*into = nil
		return convertTo(value, cty.List(cty.String), into)
	case *map[string]string:
		*into = nil
		return convertTo(value, cty.Map(cty.String), into)
	}
	return fmt.Errorf("can't decode a field of type %T", f.Into)
}

// evaluate returns the value of an expression. The expression must not contain variables, and a list or map must not
// have more than maxElements elements.
func evaluate(expression hclsyntax.Expression) (cty.Value, error) {
	value, diags := expression.Value(nil)
	if diags.HasErrors() {
		return cty.NilVal, diags
	}
	if value.IsNull() || !value.IsWhollyKnown() {
		return cty.NilVal, errNoValue
	}
	if value.CanIterateElements() && value.LengthInt() > maxElements {
		return cty.NilVal, fmt.Errorf("%d elements, at most %d are allowed", value.LengthInt(), maxElements)
	}
	return value, nil
}

// convertTo converts a value to an HCL type and assigns it to a Go variable.
func convertTo(value cty.Value, t cty.Type, into any) error {
	converted, err := convert.Convert(value, t)
	if err != nil {
		return err
	}
	return gocty.FromCtyValue(converted, into)
}

// decodeDuration parses a duration, which is written in HCL as a string with a unit, and assigns it to a Go variable.
func (f Field) decodeDuration(value cty.Value, into *time.Duration) error {
	var text string
	if err := convertTo(value, cty.String, &text); err != nil {
		return err
	}
	duration, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("must be a duration such as \"300ms\" or \"2s\", not %q", text)
	}
	*into = duration
	return f.checkBounds(duration.Seconds())
}

// checkBounds checks a number, or a duration in seconds, against Min and Max.
func (f Field) checkBounds(v float64) error {
	limit := f.Max
	if limit == 0 {
		limit = maxNumber
	}
	if math.IsNaN(v) || v < f.Min || v > limit {
		return fmt.Errorf("%g is outside the range %g to %g", v, f.Min, limit)
	}
	return nil
}

// checkOneOf checks that a string is one of the values in OneOf, if there are any.
func (f Field) checkOneOf(v string) error {
	if len(f.OneOf) == 0 || slices.Contains(f.OneOf, v) {
		return nil
	}
	return fmt.Errorf("%q is none of %s", v, strings.Join(f.OneOf, ", "))
}
