package placement

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestErrorsNameTheField checks that the error for an invalid file includes the name of the invalid field and is a
// single line, because it is logged as one.
func TestErrorsNameTheField(t *testing.T) {
	for name, c := range map[string]struct{ from, to, wantError string }{
		"truncated file":    {`}}}`, ``, "not readable"},
		"no name":           {`"n3"`, `""`, "name is missing"},
		"no discovery":      {`"discovery":"127.2.0.1:8500",`, ``, "discovery is missing"},
		"not an address":    {`127.2.0.2:6400`, `relay:64000000`, "relay.address"},
		"seed":              {`8c1f30d27a5be964`, `xyz`, "seed"},
		"wrong type":        {`"cores":0.5`, `"cores":"many"`, "cores"},
		"no memory":         {`"memory_mb":48`, `"memory_mb":-1`, "limits.memory_mb"},
		"no descriptors":    {`"sockets":256`, `"sockets":3`, "limits.sockets"},
		"no zones":          {`"dcs":["a","b"],`, ``, "0 zones"},
		"no proxies":        {`"proxy_count":150,`, ``, "proxy_count"},
		"rank out of range": {`"rank":1`, `"rank":2`, "rank"},
		"backlog is text":   {`"backlog":1200`, `"backlog":"long"`, "backlog"},
	} {
		t.Run(name, func(t *testing.T) {
			require.Contains(t, validFile, c.from)
			_, err := Parse([]byte(strings.Replace(validFile, c.from, c.to, 1)))
			assert.ErrorContains(t, err, c.wantError)
			assert.NotContains(t, err.Error(), "\n")
		})
	}
}

// TestCachedList checks that an endpoint list which is absent, empty, or wholly or partly malformed does not prevent
// startup: the valid entries are kept, and a warning describes what was ignored.
func TestCachedList(t *testing.T) {
	at := strings.Index(validFile, `"known":`)
	end := strings.Index(validFile, `"settings":`)
	for name, c := range map[string]struct {
		known   string
		warning string // part of the warning; empty: none
		entries int    // number of valid entries; -1: Cached is nil
	}{
		"whole":          {validFile[at:end], "", 1},
		"absent":         {"", "", -1},
		"null":           {`"known":null,`, "", -1},
		"empty":          {`"known":{"index":0,"snapshot":true,"endpoints":[]},`, "", 0},
		"no list":        {`"known":{"snapshot":true,"endpoints":[]},`, "known: invalid endpoint list", -1},
		"endpoints null": {`"known":{"index":0,"snapshot":true,"endpoints":null},`, "known: invalid endpoint list", -1},
		"wrong type":     {`"known":7,`, "known: invalid endpoint list", -1},
		"a malformed entry": {
			strings.Replace(validFile[at:end], "]}", `,{"name":"s-2","status":"asleep"}]}`, 1),
			"known: 1 malformed entries", 1,
		},
		"only malformed entries": {
			strings.Replace(validFile[at:end], "leaving", "asleep", 1), "known: 1 malformed entries", 0,
		},
	} {
		t.Run(name, func(t *testing.T) {
			p, err := Parse([]byte(validFile[:at] + c.known + validFile[end:]))
			require.NoError(t, err)
			assert.Contains(t, p.Warning, c.warning)
			assert.Equal(t, c.warning == "", p.Warning == "")
			if c.entries < 0 {
				assert.Nil(t, p.Cached)
				return
			}
			assert.Len(t, p.Cached.Entries, c.entries)
		})
	}
}
