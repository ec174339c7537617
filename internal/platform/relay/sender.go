package relay

import (
	"context"
	"time"

	"go.uber.org/zap"

	"indigousher/internal/controller"
	"indigousher/planner"
)

// Sender sends commands to the relay. All methods but Run may be called from any goroutine; Run is called once.
type Sender struct {
	Counters *Counters

	inbox      controller.Inbox // receives reports of outages and merged calls
	classNames []string         // names of the request classes, indexed by bit of a class mask
	log        *zap.Logger

	queue callQueue // filled by the controller, drained by Run

	// Owned by the goroutine of Run.
	connection connection
	outage     outage
	rejections int // consecutive calls that the relay rejected as a whole
}

// NewSender returns a sender to the relay at address. It sends nothing before Run.
func NewSender(address string, classNames []string, inbox controller.Inbox, c *Counters, log *zap.Logger) *Sender {
	return &Sender{
		Counters:   c,
		inbox:      inbox,
		classNames: classNames,
		log:        log,
		queue:      newCallQueue(address, c),
	}
}

// Enqueue queues the commands of one controller turn as one call.
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

// ProxyLeft drops the queued commands that name a disconnected proxy.
func (s *Sender) ProxyLeft(proxy int) { s.queue.dropProxy(proxy) }

// SetAddress changes the relay's address for later calls. A call in flight completes at the old address.
func (s *Sender) SetAddress(address string) { s.queue.setAddress(address) }

// Run sends the queued calls until ctx ends.
func (s *Sender) Run(ctx context.Context) error {
	defer s.connection.close()
	s.outage = newOutage()
	for ctx.Err() == nil {
		s.sendNext(ctx)
	}
	return nil
}

// sendNext sends the next call, or waits until there is one. During an outage it sends nothing until a probe is
// answered.
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
		s.callFailed(ctx, callStart, next, err)
		return
	}
	s.endOutage(ctx, next)
	s.callAnswered(next, executed)
}

// reportMerged reports to the controller which ack requests are sent in one call. The controller must know before a
// proxy can ack.
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

// send makes one call and returns how many of its commands the relay executed, from the first on.
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

// callAnswered counts the executed commands. If the relay halted, it requeues the remaining ones.
func (s *Sender) callAnswered(sent call, executed int) {
	s.rejections = 0
	s.Counters.Executed.Add(int64(executed))
	if executed == len(sent) {
		return
	}
	if rest := s.retryHalted(sent[executed:]); len(rest) > 0 {
		s.queue.requeue(rest)
	}
}

// post reports the state of the relay to the controller. It fails only after ctx has ended, and then Run returns.
func (s *Sender) post(ctx context.Context, in controller.RelayStalled) { _ = s.inbox.Post(ctx, in) }
