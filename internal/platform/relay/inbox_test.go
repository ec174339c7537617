package relay

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"go.uber.org/goleak"

	"indigousher/internal/pilot"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// inbox keeps inputs, short.
type inbox struct {
	mu  sync.Mutex
	got []string
}

func (b *inbox) Post(_ context.Context, in pilot.Input) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch in := in.(type) {
	case pilot.Relayed:
		b.got = append(b.got, fmt.Sprint(map[bool]string{true: "stood ", false: "joined "}[in.Stood], in.Proxy))
	case pilot.Unrelayed:
		b.got = append(b.got, fmt.Sprint("left ", in.Proxy))
	case pilot.RelayStalled:
		text := fmt.Sprint("stalled ", in.ForMs > 0, " ", in.Again)
		if len(in.Joined) > 0 {
			text += fmt.Sprint(" joined ", in.Joined)
		}
		b.got = append(b.got, text)
	case pilot.RelayApplied:
		b.got = append(b.got, fmt.Sprint("applied ", in.Proxy, " ", in.Mark))
	}
	return nil
}

func (b *inbox) all() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string{}, b.got...)
}
