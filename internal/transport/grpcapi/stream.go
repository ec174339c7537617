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

// ErrSlow means that a proxy does not read fast enough: its queue exceeds the limit although superseded operations have
// been removed from it. The stream is closed.
var ErrSlow = errors.New("the proxy reads too slowly or not at all")

// stream is the state of one proxy's gRPC stream. It implements controller.Stream: the control loop queues messages,
// the writer goroutine sends them, and the reader goroutine processes acknowledgements.
type stream struct {
	wake chan struct{} // capacity 1; contains an element if there may be a message to send
	end  *shutdown.Signal[*pb.Downward]

	mu             sync.Mutex
	pending        pendingOps
	pace           *wire.Pace // newest Pace message that has not been sent yet, or nil
	versions       versions
	lastReceivedAt time.Time // time of the proxy's last message; zero until a message or the first check of overdueReason
}

// newStream returns a stream whose queue contains at most maxOps operations.
func newStream(maxOps int) *stream {
	return &stream{
		wake:    make(chan struct{}, 1),
		end:     shutdown.New[*pb.Downward](),
		pending: pendingOps{maxOps: maxOps},
	}
}

// Send queues commands for the proxy. It returns ErrSlow if the queue exceeds its limit.
func (st *stream) Send(commands *wire.Commands) error {
	st.mu.Lock()
	defer st.mu.Unlock()
	if err := st.pending.add(commands); err != nil {
		return err
	}
	st.signal()
	return nil
}

// RequestPace queues a Pace message, which changes how the proxy reports load. It replaces a queued one. The error is always
// nil.
func (st *stream) RequestPace(pace *wire.Pace) error {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.pace = pace
	st.signal()
	return nil
}

// Close ends the stream and sends the reason to the proxy in a final Redirect, after which the proxy should not connect
// to this pilot again.
func (st *stream) Close(reason string) {
	st.end.CloseWith(reason, newRedirect(&pb.Redirect{Reason: reason, Final: true}))
}

// newRedirect wraps a Redirect message for sending.
func newRedirect(r *pb.Redirect) *pb.Downward {
	return &pb.Downward{Says: &pb.Downward_Redirect{Redirect: r}}
}

// signal wakes the writer goroutine.
func (st *stream) signal() {
	select {
	case st.wake <- struct{}{}:
	default: // a wake-up is pending already
	}
}

// takeNext removes and returns the next message to send, or nil if there is none. A Pace message is sent before an
// assignment.
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

// acknowledge processes an acknowledgement and returns the numbers of the ack requests that it answers. The error is a
// status that ends the stream. A refusal ends it too, because the pilot then no longer knows the state of the proxy;
// the proxy has to reconnect and start over.
func (st *stream) acknowledge(a *pb.Ack) (ackNumbers []int, err error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.versions.acknowledge(a)
}

// recordReceived records that a message of the proxy has arrived now.
func (st *stream) recordReceived() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.lastReceivedAt = time.Now()
}

// overdueReason returns the reason to end the stream if an assignment has not been acknowledged within ackWithin or no
// message has arrived for longer than silence. Otherwise it returns "". The reason is the status text for the proxy.
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

// pendingOps is the queue of operations to be sent. If it exceeds maxOps, it is collapsed: operations that later ones
// supersede are removed.
type pendingOps struct {
	ops    []wire.Op
	maxOps int

	// AtMs and AgeMs of the first commands in the queue, ms, and the sum of CostLines of all commands in it.
	firstAtMs, firstAgeMs float64
	costLines             int
}

func (p *pendingOps) empty() bool { return len(p.ops) == 0 }

// add appends the operations of commands. It returns ErrSlow if the queue exceeds maxOps even after collapsing.
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

// take removes all operations and returns them as one assignment, whose version numbers are not set yet.
func (p *pendingOps) take() *pb.Assignment {
	a := &pb.Assignment{WaitedMs: p.firstAgeMs, OrderedMs: p.firstAtMs, Lines: uint32(p.costLines)}
	a.Steps, a.Marks = encodeOps(wire.Collapse(p.ops))
	p.ops = p.ops[:0]
	return a
}

// versions assigns version numbers to the assignments of a stream and tracks acknowledgements. Version 0 is the state
// before the first assignment; each assignment changes the proxy's state from one version to the next.
type versions struct {
	newest  uint64           // version of the last assignment sent; 0: none
	acked   uint64           // last version that the proxy has acknowledged; 0: none
	unacked []unackedVersion // in ascending order
}

// unackedVersion is an assignment that the proxy has not acknowledged.
type unackedVersion struct {
	version    uint64
	ackNumbers []uint32 // ack requests in the assignment
	sentAt     time.Time
}

// add sets the version numbers of an assignment, which is sent now, and records it as unacknowledged.
func (v *versions) add(a *pb.Assignment, now time.Time) {
	a.Base = v.newest
	v.newest++
	a.Version = v.newest
	v.unacked = append(v.unacked, unackedVersion{a.Version, a.Marks, now})
}

// acknowledge records that all versions up to and including that of a are acknowledged and returns the numbers of their
// ack requests. It returns a status error if the version was never sent, was acknowledged before or is refused, or if
// TookMs is invalid.
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

// oldestUnacked returns the oldest unacknowledged version and the time at which it was sent. ok is false if all
// versions are acknowledged.
func (v *versions) oldestUnacked() (version uint64, sentAt time.Time, ok bool) {
	if len(v.unacked) == 0 {
		return 0, time.Time{}, false
	}
	return v.unacked[0].version, v.unacked[0].sentAt, true
}
