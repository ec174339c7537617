package listener

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"indigousher/internal/controller"
)

// FuzzParseReport checks that every report that parseReport accepts holds valid values, whatever the line.
func FuzzParseReport(f *testing.F) {
	f.Add("heard locality=a endpoint=x total=9 errors=2 rtt=4.5 interval=1000.0 metrics=util:0.5")
	f.Add("usage node=3 route=read total=4 errors=1 interval=500")
	f.Fuzz(func(t *testing.T, line string) {
		var words fields
		in, readable := parseReport(&words, []byte(line))
		if in != nil {
			assert.True(t, readable)
		}
		switch in := in.(type) {
		case controller.ZoneStats:
			assert.True(t, in.Failed >= 0 && in.Failed <= in.Attempts && in.SpanMs > 0 && in.MeanMs >= 0 &&
				in.Zone != "" && in.Endpoint != "")
		case controller.ProxyStats:
			assert.True(t, in.Unanswered >= 0 && in.Unanswered <= in.Requests && in.Proxy >= 0 && in.Class != "")
		}
	})
}
