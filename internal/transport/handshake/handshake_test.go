package handshake

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestSilentOpening checks that ReceiveFirst returns an error if no message arrives within the timeout, and the message
// if one does.
func TestSilentOpening(t *testing.T) {
	never := make(chan struct{})
	defer close(never)
	_, err := ReceiveFirst(10*time.Millisecond, "nothing was said", func() (int, error) { <-never; return 0, nil })
	assert.ErrorContains(t, err, "nothing was said")
	n, err := ReceiveFirst(time.Minute, "nothing was said", func() (int, error) { return 7, nil })
	assert.NoError(t, err)
	assert.Equal(t, 7, n)
}
