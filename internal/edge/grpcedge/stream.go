package grpcedge

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"indigousher/internal/edge/ending"
	"indigousher/internal/wire"
	pb "indigousher/proto/indigousher/v1"
)

// ErrSlow ends the stream of a proxy for which more waits than may, even collapsed to the newest state.
var ErrSlow = errors.New("the proxy reads too slowly or not at all")

// stream is one proxy's; it is the controller's pilot.Stream. The controller's loop puts in what is to be sent, and the
// stream's two goroutines take it out and acknowledge it.
type stream struct {
	wake chan struct{} // holds something if there may be something to send
	end  *ending.Ending[*pb.Downward]

	mu       sync.Mutex
	pending  pendingOps
	advice   *wire.Pace // the newest advice on load reports that was not sent, or nil
	versions versions
	heardAt  time.Time // when the proxy last said something; zero before the first look
}

// newStream returns a stream for which at most maxOps may wait.
func newStream(maxOps int) *stream {
	return &stream{
		wake:    make(chan struct{}, 1),
		end:     ending.New[*pb.Downward](),
		pending: pendingOps{limit: maxOps},
	}
}

// Send queues orders. It returns ErrSlow if too much waits.
func (st *stream) Send(o *wire.Orders) error {
	st.mu.Lock()
	defer st.mu.Unlock()
	if err := st.pending.add(o); err != nil {
		return err
	}
	st.signal()
	return nil
}

// Ask queues advice on load reports; only the newest counts.
func (st *stream) Ask(p *wire.Pace) error {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.advice = p
	st.signal()
	return nil
}

// Close ends the stream and tells the proxy why, and not to come back to this controller.
func (st *stream) Close(reason string) {
	st.end.Say(reason, redirect(&pb.Redirect{Reason: reason, Final: true}))
}

// redirect lays out the message that sends a proxy elsewhere.
func redirect(r *pb.Redirect) *pb.Downward {
	return &pb.Downward{Says: &pb.Downward_Redirect{Redirect: r}}
}

// signal wakes the writer.
func (st *stream) signal() {
	select {
	case st.wake <- struct{}{}:
	default: // it has been woken and has not looked yet
	}
}

// next takes the next message to send, or returns nil if nothing waits. Advice goes before assignments.
func (st *stream) next() *pb.Downward {
	st.mu.Lock()
	defer st.mu.Unlock()
	if advice := st.advice; advice != nil {
		st.advice = nil
		if !st.pending.empty() {
			st.signal()
		}
		return &pb.Downward{Says: &pb.Downward_Pace{Pace: &pb.Pace{
			PeriodMs: uint32(advice.PeriodMs),
			Lines:    uint32(advice.Lines),
			Changes:  advice.Changes,
		}}}
	}
	if st.pending.empty() {
		return nil
	}
	assignment := st.pending.take()
	st.versions.send(assignment, time.Now())
	return &pb.Downward{Says: &pb.Downward_Assignment{Assignment: assignment}}
}

// acknowledge returns the marks that an acknowledgement answers, or why it can't be taken. After a refusal neither side
// knows what the other has, so the stream ends and the proxy begins anew.
func (st *stream) acknowledge(a *pb.Ack) (marks []int, err error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.versions.acknowledge(a)
}

// heardNow notes that the proxy said something.
func (st *stream) heardNow() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.heardAt = time.Now()
}

// overdue returns why a stream is to end, if anything is long due on it: an acknowledgement for longer than ackWithin,
// or any message for longer than silence.
func (st *stream) overdue(ackWithin, silence time.Duration) string {
	st.mu.Lock()
	defer st.mu.Unlock()
	version, sentAt, waits := st.versions.oldestUnacked()
	switch {
	case waits && time.Since(sentAt) > ackWithin:
		return fmt.Sprintf("version %d is not acknowledged", version)
	case !st.heardAt.IsZero() && time.Since(st.heardAt) > silence:
		return "nothing was heard"
	case st.heardAt.IsZero():
		st.heardAt = time.Now()
	}
	return ""
}

// pendingOps is what waits to be sent. It collapses to the newest state of each line before its limit is exceeded.
type pendingOps struct {
	ops   []wire.Op
	limit int

	// Of the orders since ops was empty: when the first were given, and the lines of all.
	orderedMs, waitedMs float64
	lines               int
}

func (p *pendingOps) empty() bool { return len(p.ops) == 0 }

// add puts orders behind those that wait. It returns ErrSlow if there are too many even when collapsed.
func (p *pendingOps) add(o *wire.Orders) error {
	if p.empty() {
		p.orderedMs = o.AtMs
		p.waitedMs = o.AgeMs
		p.lines = 0
	}
	p.ops = append(p.ops, o.Ops...)
	p.lines += o.Lines
	if len(p.ops) > p.limit {
		p.ops = wire.Collapse(p.ops)
	}
	if len(p.ops) > p.limit {
		return ErrSlow
	}
	return nil
}

// take takes all that waits as one assignment, which has no versions yet.
func (p *pendingOps) take() *pb.Assignment {
	a := &pb.Assignment{WaitedMs: p.waitedMs, OrderedMs: p.orderedMs, Lines: uint32(p.lines)}
	a.Steps, a.Marks = steps(wire.Collapse(p.ops))
	p.ops = p.ops[:0]
	return a
}

// versions counts the assignments of a stream: each moves the proxy from one version to the next as a whole.
type versions struct {
	newest  uint64 // sent
	acked   uint64
	unacked []sentVersion // in their order
}

// sentVersion is an assignment that the proxy has not acknowledged.
type sentVersion struct {
	version uint64
	marks   []uint32
	sentAt  time.Time
}

// send gives an assignment its versions and waits for its acknowledgement.
func (v *versions) send(a *pb.Assignment, now time.Time) {
	a.Base = v.newest
	v.newest++
	a.Version = v.newest
	v.unacked = append(v.unacked, sentVersion{a.Version, a.Marks, now})
}

// acknowledge returns the marks of the versions up to the one acknowledged. The error, a status, is for one that was
// never sent, or taken before, or refused.
func (v *versions) acknowledge(a *pb.Ack) (marks []int, err error) {
	refused := a.GetRefusal() != ""
	if a.GetVersion() > v.newest || a.GetVersion() <= v.acked && !refused {
		return nil, status.Errorf(codes.InvalidArgument, "version %d acknowledged, %d was sent", a.GetVersion(), v.newest)
	}
	if refused {
		return nil, status.Errorf(codes.Aborted, "version %d refused: %.200s", a.GetVersion(), a.GetRefusal())
	}
	if checkFigure(a.GetTookMs()) != nil {
		return nil, status.Error(codes.InvalidArgument, "an acknowledgement that is no good")
	}
	v.acked = a.GetVersion()
	for len(v.unacked) > 0 && v.unacked[0].version <= v.acked {
		for _, number := range v.unacked[0].marks {
			marks = append(marks, int(number))
		}
		v.unacked = v.unacked[1:]
	}
	return marks, nil
}

// oldestUnacked returns the oldest version that is not acknowledged and when it was sent, if there is one.
func (v *versions) oldestUnacked() (version uint64, sentAt time.Time, ok bool) {
	if len(v.unacked) == 0 {
		return 0, time.Time{}, false
	}
	return v.unacked[0].version, v.unacked[0].sentAt, true
}
