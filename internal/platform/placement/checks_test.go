package placement

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestErrorsNameTheField checks that the error for an invalid file names the field.
func TestErrorsNameTheField(t *testing.T) {
	for name, c := range map[string]struct{ from, to, wantError string }{
		"cut off":           {`}}}`, ``, "not readable"},
		"no name":           {`"n3"`, `""`, "name is missing"},
		"no discovery":      {`"discovery":"127.2.0.1:8500",`, ``, "discovery is missing"},
		"not an address":    {`127.2.0.2:6400`, `relay:64000000`, "relay.address"},
		"seed":              {`8c1f30d27a5be964`, `xyz`, "seed"},
		"another type":      {`"cores":0.5`, `"cores":"many"`, "cores"},
		"no memory":         {`"memory_mb":48`, `"memory_mb":-1`, "limits.memory_mb"},
		"no descriptors":    {`"sockets":256`, `"sockets":3`, "limits.sockets"},
		"no zones":          {`"dcs":["a","b"],`, ``, "0 zones"},
		"no proxies":        {`"proxy_count":150,`, ``, "proxy_count"},
		"a rank beyond all": {`"rank":1`, `"rank":2`, "rank"},
		"a backlog of text": {`"backlog":1200`, `"backlog":"long"`, "backlog"},
	} {
		t.Run(name, func(t *testing.T) {
			require.Contains(t, validFile, c.from)
			_, err := Parse([]byte(strings.Replace(validFile, c.from, c.to, 1)))
			assert.ErrorContains(t, err, c.wantError)
			assert.NotContains(t, err.Error(), "\n")
		})
	}
}

// TestCachedList checks the endpoint list from before the start: it may be absent, empty, or malformed as a whole or
// in part, and the pilot starts with the valid part and a warning.
func TestCachedList(t *testing.T) {
	at := strings.Index(validFile, `"known":`)
	end := strings.Index(validFile, `"settings":`)
	for name, c := range map[string]struct {
		known   string
		warns   string
		entries int // -1: no list
	}{
		"whole":           {validFile[at:end], "", 1},
		"absent":          {"", "", -1},
		"null":            {`"known":null,`, "", -1},
		"empty":           {`"known":{"index":0,"snapshot":true,"endpoints":[]},`, "", 0},
		"no list":         {`"known":{"snapshot":true,"endpoints":[]},`, "known: not a list", -1},
		"endpoints null":  {`"known":{"index":0,"snapshot":true,"endpoints":null},`, "known: not a list", -1},
		"of another type": {`"known":7,`, "known: not a list", -1},
		"a malformed entry": {
			strings.Replace(validFile[at:end], "]}", `,{"name":"s-2","status":"asleep"}]}`, 1), "known: 1 entries", 1,
		},
		"only malformed entries": {strings.Replace(validFile[at:end], "leaving", "asleep", 1), "known: 1 entries", 0},
	} {
		t.Run(name, func(t *testing.T) {
			p, err := Parse([]byte(validFile[:at] + c.known + validFile[end:]))
			require.NoError(t, err)
			assert.Contains(t, p.Warning, c.warns)
			assert.Equal(t, c.warns == "", p.Warning == "")
			if c.entries < 0 {
				assert.Nil(t, p.Cached)
				return
			}
			assert.Len(t, p.Cached.Entries, c.entries)
		})
	}
}
