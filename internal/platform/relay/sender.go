package relay

import (
	"context"
	"time"

	"go.uber.org/zap"

	"indigousher/internal/controller"
	"indigousher/planner"
)

// Sender sends commands to the relay. Run must be called once; all other methods may be called from any goroutine.
type Sender struct {
	Counters *Counters

	inbox      controller.Inbox // receives reports about outages and merged calls
	classNames []string         // names of the request classes, indexed by bit number in a class mask
	log        *zap.Logger

	queue callQueue // the controller enqueues, Run dequeues

	// Used only by the goroutine of Run.
	connection connection
	outage     outage
	rejections int // number of consecutive calls that the relay rejected as a whole
}

// NewSender returns a sender to the relay at address. It sends nothing before Run is called. classNames are the names
// of the request classes, indexed by bit number in a class mask.
func NewSender(address string, classNames []string, inbox controller.Inbox, c *Counters, log *zap.Logger) *Sender {
	return &Sender{
		Counters:   c,
		inbox:      inbox,
		classNames: classNames,
		log:        log,
		queue:      newCallQueue(address, c),
	}
}

// Enqueue queues the commands of one turn of the control loop. It does not block. endpointName returns the name of the
// endpoint with an index.
func (s *Sender) Enqueue(turn []planner.Command, endpointName func(i int) string) {
	var commands []command
	for _, c := range turn {
		if encoded, ok := encode(c, endpointName, s.classNames); ok {
			commands = append(commands, encoded)
		}
	}
	s.Counters.Enqueued.Add(int64(len(commands)))
	s.queue.enqueue(commands)
}

// ProxyLeft drops the queued commands for a proxy that has disconnected from the relay.
func (s *Sender) ProxyLeft(proxy int) { s.queue.dropProxy(proxy) }

// SetAddress changes the relay's address. A call in flight is completed at the old address.
func (s *Sender) SetAddress(address string) { s.queue.setAddress(address) }

// Run sends the queued calls until ctx is cancelled, and returns nil.
func (s *Sender) Run(ctx context.Context) error {
	defer s.connection.close()
	s.outage = newOutage()
	for ctx.Err() == nil {
		s.sendNext(ctx)
	}
	return nil
}

// sendNext sends the oldest queued call, or waits if the queue is empty. During an outage it sends a probe first and,
// if that fails, no call.
func (s *Sender) sendNext(ctx context.Context) {
	if s.outage.active() && !s.probe(ctx) {
		return
	}
	next, address := s.queue.dequeue(s.outage.active())
	if next == nil {
		s.endOutage(ctx, nil)
		s.queue.wait(ctx)
		return
	}
	callStart := time.Now()
	s.reportMerged(ctx, next)
	executed, err := s.send(ctx, address, next)
	if err != nil {
		s.handleFailure(ctx, callStart, next, err)
		return
	}
	s.endOutage(ctx, next)
	s.handleResponse(next, executed)
}

// reportMerged reports to the controller if a call contains several ack requests, of which only the newest is sent. The
// controller must have the report before a proxy can answer that ack request.
func (s *Sender) reportMerged(ctx context.Context, next call) {
	merged := next.ackNumbers()
	if len(merged) < 2 {
		return
	}
	in := controller.RelayStalled{Merged: merged}
	if s.outage.active() {
		in.ForMs = s.outage.unreportedMs()
	}
	s.post(ctx, in)
}

// send sends one call. It returns how many of the call's commands the relay has executed, counted from the first.
func (s *Sender) send(ctx context.Context, address string, next call) (executed int, err error) {
	s.Counters.Calls.Add(1)
	resp, err := s.connection.roundTrip(ctx, address, next)
	if err != nil {
		return 0, err
	}
	executed, err = parseResponse(resp.body, len(next))
	if err == nil && resp.closing {
		s.connection.close()
	}
	return executed, err
}

// handleResponse handles the relay's response to a call. It counts the executed commands. If the relay halted, it puts
// the remaining commands back into the queue, as retryHalted decides.
func (s *Sender) handleResponse(sent call, executed int) {
	s.rejections = 0
	s.Counters.Executed.Add(int64(executed))
	if executed == len(sent) {
		return
	}
	if rest := s.retryHalted(sent[executed:]); len(rest) > 0 {
		s.queue.requeue(rest)
	}
}

// post reports the state of the relay to the controller. The error can be ignored: Post fails only after ctx was
// cancelled, and then Run returns.
func (s *Sender) post(ctx context.Context, in controller.RelayStalled) { _ = s.inbox.Post(ctx, in) }
