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

// ErrSlow ends the stream of a proxy whose queue exceeds its limit, even collapsed to the newest state.
var ErrSlow = errors.New("the proxy reads too slowly or not at all")

// stream is the stream of one proxy. It implements controller.Stream: the controller's loop queues messages, the
// stream's writer sends them, and its reader processes acknowledgements.
type stream struct {
	wake chan struct{} // has an element if there may be something to send
	end  *shutdown.Notice[*pb.Downward]

	mu             sync.Mutex
	pending        pendingOps
	pace           *wire.Pace // the newest advice on load reports, until it is sent
	versions       versions
	lastReceivedAt time.Time // time of the proxy's last message; zero before the first check
}

// newStream returns a stream whose queue holds at most maxOps.
func newStream(maxOps int) *stream {
	return &stream{
		wake:    make(chan struct{}, 1),
		end:     shutdown.New[*pb.Downward](),
		pending: pendingOps{maxOps: maxOps},
	}
}

// Send queues orders. It returns ErrSlow if the queue exceeds its limit.
func (st *stream) Send(commands *wire.Commands) error {
	st.mu.Lock()
	defer st.mu.Unlock()
	if err := st.pending.add(commands); err != nil {
		return err
	}
	st.signal()
	return nil
}

// Ask queues advice on load reports, in place of earlier advice that was not sent yet.
func (st *stream) Ask(pace *wire.Pace) error {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.pace = pace
	st.signal()
	return nil
}

// Close ends the stream. It sends the reason to the proxy, which is not to connect to this controller again.
func (st *stream) Close(reason string) {
	st.end.CloseWith(reason, newRedirect(&pb.Redirect{Reason: reason, Final: true}))
}

// redirect encodes a redirect.
func newRedirect(r *pb.Redirect) *pb.Downward {
	return &pb.Downward{Says: &pb.Downward_Redirect{Redirect: r}}
}

// signal wakes the writer.
func (st *stream) signal() {
	select {
	case st.wake <- struct{}{}:
	default: // a wake-up is pending already
	}
}

// next removes and returns the next message to send, or nil if there is none. Advice precedes assignments.
func (st *stream) takeNext() *pb.Downward {
	st.mu.Lock()
	defer st.mu.Unlock()
	if pace := st.pace; pace != nil {
		st.pace = nil
		if !st.pending.empty() {
			st.signal()
		}
		return &pb.Downward{Says: &pb.Downward_Pace{Pace: &pb.Pace{
			PeriodMs: uint32(pace.PeriodMs),
			Lines:    uint32(pace.MaxLines),
			Changes:  pace.ChangedOnly,
		}}}
	}
	if st.pending.empty() {
		return nil
	}
	assignment := st.pending.take()
	st.versions.add(assignment, time.Now())
	return &pb.Downward{Says: &pb.Downward_Assignment{Assignment: assignment}}
}

// acknowledge returns the marks that an acknowledgement answers. The error, a status, ends the stream; after a refusal
// neither side knows what the other one has, so the proxy has to start over.
func (st *stream) acknowledge(a *pb.Ack) (ackNumbers []int, err error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.versions.acknowledge(a)
}

// heardNow records that a message of the proxy has arrived.
func (st *stream) recordReceived() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.lastReceivedAt = time.Now()
}

// overdue returns why the stream has to end, or the empty string: an acknowledgement is due for longer than ackWithin,
// or no message has arrived for longer than silence.
func (st *stream) overdueReason(ackWithin, silence time.Duration) string {
	st.mu.Lock()
	defer st.mu.Unlock()
	version, sentAt, found := st.versions.oldestUnacked()
	switch {
	case found && time.Since(sentAt) > ackWithin:
		return fmt.Sprintf("version %d is not acknowledged", version)
	case !st.lastReceivedAt.IsZero() && time.Since(st.lastReceivedAt) > silence:
		return "nothing was heard"
	case st.lastReceivedAt.IsZero():
		st.lastReceivedAt = time.Now()
	}
	return ""
}

// pendingOps are the ops to be sent. They are collapsed to the newest state of each line when they exceed the limit.
type pendingOps struct {
	ops    []wire.Op
	maxOps int

	// Times of the first orders since ops was empty, and the total number of lines.
	firstAtMs, firstAgeMs float64
	costLines             int
}

func (p *pendingOps) empty() bool { return len(p.ops) == 0 }

// add appends orders. It returns ErrSlow if the ops exceed the limit even when collapsed.
func (p *pendingOps) add(commands *wire.Commands) error {
	if p.empty() {
		p.firstAtMs = commands.AtMs
		p.firstAgeMs = commands.AgeMs
		p.costLines = 0
	}
	p.ops = append(p.ops, commands.Ops...)
	p.costLines += commands.CostLines
	if len(p.ops) > p.maxOps {
		p.ops = wire.Collapse(p.ops)
	}
	if len(p.ops) > p.maxOps {
		return ErrSlow
	}
	return nil
}

// take removes all ops and returns them as one assignment, still without versions.
func (p *pendingOps) take() *pb.Assignment {
	a := &pb.Assignment{WaitedMs: p.firstAgeMs, OrderedMs: p.firstAtMs, Lines: uint32(p.costLines)}
	a.Steps, a.Marks = encodeOps(wire.Collapse(p.ops))
	p.ops = p.ops[:0]
	return a
}

// versions numbers the assignments of a stream. Each one moves the proxy from one version to the next.
type versions struct {
	newest  uint64 // the newest one sent
	acked   uint64
	unacked []unackedVersion // in ascending order
}

// sentVersion is an assignment that the proxy has not acknowledged.
type unackedVersion struct {
	version    uint64
	ackNumbers []uint32
	sentAt     time.Time
}

// send assigns the next version to an assignment and records it as unacknowledged.
func (v *versions) add(a *pb.Assignment, now time.Time) {
	a.Base = v.newest
	v.newest++
	a.Version = v.newest
	v.unacked = append(v.unacked, unackedVersion{a.Version, a.Marks, now})
}

// acknowledge returns the marks of the versions up to the acknowledged one. The error is a status: the version was
// never sent, was acknowledged before, or was refused.
func (v *versions) acknowledge(a *pb.Ack) (ackNumbers []int, err error) {
	refused := a.GetRefusal() != ""
	if a.GetVersion() > v.newest || a.GetVersion() <= v.acked && !refused {
		return nil, status.Errorf(codes.InvalidArgument, "version %d acknowledged, %d was sent", a.GetVersion(), v.newest)
	}
	if refused {
		return nil, status.Errorf(codes.Aborted, "version %d refused: %.200s", a.GetVersion(), a.GetRefusal())
	}
	if checkNumber(a.GetTookMs()) != nil {
		return nil, status.Error(codes.InvalidArgument, "an acknowledgement that is no good")
	}
	v.acked = a.GetVersion()
	for len(v.unacked) > 0 && v.unacked[0].version <= v.acked {
		for _, number := range v.unacked[0].ackNumbers {
			ackNumbers = append(ackNumbers, int(number))
		}
		v.unacked = v.unacked[1:]
	}
	return ackNumbers, nil
}

// oldestUnacked returns the oldest unacknowledged version and when it was sent, if there is one.
func (v *versions) oldestUnacked() (version uint64, sentAt time.Time, ok bool) {
	if len(v.unacked) == 0 {
		return 0, time.Time{}, false
	}
	return v.unacked[0].version, v.unacked[0].sentAt, true
}
