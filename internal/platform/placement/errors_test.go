package placement

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestFieldErrors checks that an invalid field is reported as a FieldError, with the field's name and a complete
// message for operators.
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
			`127.2.0.2:6400`, `relay:6400`, "relay.address", `relay.address: "relay:6400" is not an IP address and port`, false,
		},
		"port": {`127.0.0.4:3000`, `127.0.0.4:0`, "listen", `listen: "127.0.0.4:0" is not an IP address and port`, false},
		"seed": {
			`8c1f30d27a5be964`, `xyz`, "seed", `seed: "xyz" is not a 64-bit hexadecimal number`, false,
		},
		"cores": {
			`"cores":0.5`, `"cores":0`, "limits.cores", "limits.cores: 0 is not above 0 and at most 1024", false,
		},
		"memory": {
			`"memory_mb":48`, `"memory_mb":-1`, "limits.memory_mb",
			"limits.memory_mb: -1 is not at least 8 and below 1e+07", false,
		},
		"sockets": {
			`"sockets":256`, `"sockets":3`, "limits.sockets",
			"limits.sockets: 3 is outside the range 32 to 1048576", false,
		},
		"no zones":   {`"dcs":["a","b"],`, ``, "settings", "settings: 0 zones, outside the range 1 to 1024", false},
		"no classes": {`{"name":"read","aim":1000000000}`, ``, "settings", "settings: no request classes", false},
		"no proxies": {
			`"proxy_count":150,`, ``, "settings: proxy_count", "settings: proxy_count is missing or not a number", false,
		},
		"rank out of range": {
			`"rank":1`, `"rank":2`, "settings: rank", "settings: rank: 2 is outside the range 0 to 1", false,
		},
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
