package relay

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"go.uber.org/goleak"

	"indigousher/internal/controller"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// inbox is a controller.Inbox that records a summary of each posted input.
type inbox struct {
	mu  sync.Mutex
	got []string
}

// Post records the summary of an input: its kind and its numbers.
func (b *inbox) Post(_ context.Context, in controller.Input) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch in := in.(type) {
	case controller.RelayProxyJoined:
		kind := "joined "
		if in.Resumed {
			kind = "resumed "
		}
		b.got = append(b.got, fmt.Sprint(kind, in.Proxy))
	case controller.RelayProxyLeft:
		b.got = append(b.got, fmt.Sprint("left ", in.Proxy))
	case controller.RelayStalled:
		text := fmt.Sprint("stalled ", in.ForMs > 0, " ", in.Repeated)
		if len(in.Merged) > 0 {
			text += fmt.Sprint(" merged ", in.Merged)
		}
		b.got = append(b.got, text)
	case controller.RelayAck:
		b.got = append(b.got, fmt.Sprint("applied ", in.Proxy, " ", in.Mark))
	}
	return nil
}

// all returns the summaries in the order posted, never nil.
func (b *inbox) all() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string{}, b.got...)
}
