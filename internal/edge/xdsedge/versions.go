package xdsedge

import "time"

// mark waits for the version that carries it.
type mark struct {
	number, version int
	at              time.Time
}

func (st *stream) overdue(within time.Duration) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.acked < st.version && time.Since(st.sentAt) > within
}
