package grpcapi

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"indigousher/internal/transport/shutdown"
	"indigousher/internal/wire"
	pb "indigousher/proto/indigousher/v1"
)

// ErrSlow ends the stream of a proxy for which more waits than may, even collapsed to the newest state.
var ErrSlow = errors.New("the proxy reads too slowly or not at all")

// stream is one proxy's; it is the runtime's pilot.Stream. What waits is held as ops and collapses to the newest state
// of each line before the bound is passed.
type stream struct {
	wake    chan struct{}
	end     *shutdown.Notice[*pb.Downward]
	mu      sync.Mutex
	waiting []wire.Op
	head    wire.Orders // when the first of what waits was ordered
	lines   int
	pace    *wire.Pace
	most    int
	version uint64
	acked   uint64
	sent    []sent // not acknowledged
	heard   time.Time
}

// sent is an assignment that is not acknowledged.
type sent struct {
	version uint64
	marks   []uint32
	at      time.Time
}

// Send queues orders.
func (st *stream) Send(o *wire.Orders) error {
	st.mu.Lock()
	defer st.mu.Unlock()
	if len(st.waiting) == 0 {
		st.head = wire.Orders{AtMs: o.AtMs, AgeMs: o.AgeMs}
		st.lines = 0
	}
	st.waiting = append(st.waiting, o.Ops...)
	st.lines += o.Lines
	if len(st.waiting) > st.most {
		st.waiting = wire.Collapse(st.waiting)
	}
	if len(st.waiting) > st.most {
		return ErrSlow
	}
	st.rouse()
	return nil
}

// Ask queues a wish about reports; only the last one counts.
func (st *stream) Ask(p *wire.Pace) error {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.pace = p
	st.rouse()
	return nil
}

func (st *stream) rouse() {
	select {
	case st.wake <- struct{}{}:
	default:
	}
}

// next takes what waits as one message.
func (st *stream) next() *pb.Downward {
	st.mu.Lock()
	defer st.mu.Unlock()
	if p := st.pace; p != nil {
		st.pace = nil
		if len(st.waiting) > 0 {
			st.rouse()
		}
		return &pb.Downward{Says: &pb.Downward_Pace{Pace: &pb.Pace{PeriodMs: uint32(p.PeriodMs), Lines: uint32(p.Lines), Changes: p.Changes}}}
	}
	if len(st.waiting) == 0 {
		return nil
	}
	a := &pb.Assignment{Base: st.version, WaitedMs: st.head.AgeMs, OrderedMs: st.head.AtMs, Lines: uint32(st.lines)}
	a.Steps, a.Marks = steps(wire.Collapse(st.waiting))
	st.waiting = st.waiting[:0]
	st.version++
	a.Version = st.version
	st.sent = append(st.sent, sent{a.Version, a.Marks, time.Now()})
	return &pb.Downward{Says: &pb.Downward_Assignment{Assignment: a}}
}

// ack returns the marks that an acknowledgement answers, or why it can't be taken. After a refusal neither side knows
// what the other has, so the stream ends and the proxy begins anew.
func (st *stream) ack(a *pb.Ack) (marks []int, err error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if a.GetVersion() > st.version || a.GetVersion() <= st.acked && a.GetRefusal() == "" {
		return nil, status.Errorf(codes.InvalidArgument, "version %d acknowledged, %d was sent", a.GetVersion(), st.version)
	}
	if a.GetRefusal() != "" {
		return nil, status.Errorf(codes.Aborted, "version %d refused: %.200s", a.GetVersion(), a.GetRefusal())
	}
	if text(a.GetRefusal()) != nil || figure(a.GetTookMs()) != nil {
		return nil, status.Error(codes.InvalidArgument, "an acknowledgement that is no good")
	}
	st.acked = a.GetVersion()
	for len(st.sent) > 0 && st.sent[0].version <= st.acked {
		for _, n := range st.sent[0].marks {
			marks = append(marks, int(n))
		}
		st.sent = st.sent[1:]
	}
	return marks, nil
}

func (st *stream) said() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.heard = time.Now()
}

// overdue returns why a stream is to end, if anything is long due on it.
func (st *stream) overdue(seen, silence time.Duration) string {
	st.mu.Lock()
	defer st.mu.Unlock()
	switch {
	case len(st.sent) > 0 && time.Since(st.sent[0].at) > seen:
		return fmt.Sprintf("version %d is not acknowledged", st.sent[0].version)
	case !st.heard.IsZero() && time.Since(st.heard) > silence:
		return "nothing was heard"
	case st.heard.IsZero():
		st.heard = time.Now()
	}
	return ""
}

// Close ends the stream and tells the proxy why.
func (st *stream) Close(reason string) {
	st.end.CloseWith(reason, &pb.Downward{Says: &pb.Downward_Redirect{Redirect: &pb.Redirect{Reason: reason, Final: true}}})
}
