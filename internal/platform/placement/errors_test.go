package placement

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestFieldErrors checks the error texts, which operators read, and the typed field.
func TestFieldErrors(t *testing.T) {
	for name, c := range map[string]struct {
		from, to, field, text string
		missing               bool
	}{
		"no name":      {`"n3"`, `""`, "name", "name is missing", true},
		"no seed":      {`"8c1f30d27a5be964"`, `""`, "seed", "seed is missing", true},
		"no discovery": {`"discovery":"127.2.0.1:8500",`, ``, "discovery", "discovery is missing", true},
		"no settings":  {`"settings"`, `"no"`, "settings", "settings are missing", true},
		"address": {
			`127.2.0.2:6400`, `relay:6400`, "relay.address", `relay.address: "relay:6400" is no address and port`, false,
		},
		"port": {`127.0.0.4:3000`, `127.0.0.4:0`, "listen", `listen: "127.0.0.4:0" is no address and port`, false},
		"seed": {
			`8c1f30d27a5be964`, `xyz`, "seed", `seed: "xyz" is no hexadecimal number of 64 bits`, false,
		},
		"cores":      {`"cores":0.5`, `"cores":0`, "limits.cores", "limits.cores: 0", false},
		"memory":     {`"memory_mb":48`, `"memory_mb":-1`, "limits.memory_mb", "limits.memory_mb: -1", false},
		"sockets":    {`"sockets":256`, `"sockets":3`, "limits.sockets", "limits.sockets: 3", false},
		"no zones":   {`"dcs":["a","b"],`, ``, "settings", "settings: 0 zones", false},
		"no classes": {`{"name":"read","aim":1000000000}`, ``, "settings", "settings: no req kinds", false},
		"no proxies": {
			`"proxy_count":150,`, ``, "settings: proxy_count", "settings: proxy_count is missing or no number", false,
		},
		"a great rank": {`"rank":1`, `"rank":2`, "settings: rank", "settings: rank: 2 is outside 0 to 1", false},
	} {
		t.Run(name, func(t *testing.T) {
			require.Contains(t, validFile, c.from)
			_, err := Parse([]byte(strings.Replace(validFile, c.from, c.to, 1)))
			require.EqualError(t, err, c.text)
			var fieldError *FieldError
			require.ErrorAs(t, err, &fieldError)
			assert.Equal(t, c.field, fieldError.Field)
			if c.missing {
				assert.ErrorIs(t, err, ErrMissing)
			}
		})
	}
}
