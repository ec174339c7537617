package xds

import (
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	ads "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/types/known/anypb"

	"indigousher/internal/transport/shutdown"
	"indigousher/internal/wire"
)

// stream is the stream of one proxy. It implements controller.Stream: the controller's loop updates the routing state,
// the ADS writer sends it, and the ADS reader processes subscriptions and acknowledgements.
type stream struct {
	name    string
	classes []string      // names of the request classes by index; constant
	wake    chan struct{} // has an element if there may be something to send
	end     *shutdown.Notice[struct{}]

	mu            sync.Mutex
	routing       routing
	subscriptions subscriptions
	versions      versions
	lastSeq       uint64 // number of load reports
}

func newStream(name string, classes []string) *stream {
	return &stream{
		name:          name,
		classes:       classes,
		wake:          make(chan struct{}, 1),
		end:           shutdown.New[struct{}](),
		routing:       newRouting(classes),
		subscriptions: newSubscriptions(),
	}
}

// Send applies orders to the routing state. Only the newest state is ever sent, so there is no queue to overflow.
func (st *stream) Send(commands *wire.Commands) error {
	st.mu.Lock()
	defer st.mu.Unlock()
	for i := range commands.Ops {
		if commands.Ops[i].Kind == wire.OpAckRequest {
			st.versions.addAckRequest(commands.Ops[i].AckNumber, time.Now())
			continue
		}
		st.routing.apply(&commands.Ops[i])
	}
	st.subscriptions.pending[endpointTypeURL] = true
	st.signal()
	return nil
}

// Ask does nothing: an LRS server states its report interval once.
func (st *stream) Ask(*wire.Pace) error { return nil }

// Close ends the stream.
func (st *stream) Close(reason string) { st.end.Close(reason) }

// signal wakes the writer.
func (st *stream) signal() {
	select {
	case st.wake <- struct{}{}:
	default: // a wake-up is pending already
	}
}

// request processes a client's request and returns the marks that it acknowledges. The error is a status.
func (st *stream) handleRequest(r *ads.DiscoveryRequest) ([]wire.Done, error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	typeURL := r.GetTypeUrl()
	if !slices.Contains(servedTypes, typeURL) {
		return nil, nil // not recorded either, to bound memory
	}
	nonce := r.GetResponseNonce()
	if st.subscriptions.update(typeURL, r.GetResourceNames(), nonce == "") {
		st.signal()
	}
	if nonce == "" || typeURL != endpointTypeURL {
		return nil, nil
	}
	return st.versions.handleAnswer(nonce, r.GetErrorDetail() != nil)
}

// overdue reports whether an acknowledgement has been due for longer than within.
func (st *stream) overdue(within time.Duration) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.versions.overdue(within)
}

// responses returns the responses to send, in the order of types. Types without known names stay due, and so do
// endpoints before any table is bound: until then the client keeps what it has.
func (st *stream) takeResponses() (list []*ads.DiscoveryResponse) {
	st.mu.Lock()
	defer st.mu.Unlock()
	for _, typeURL := range slices.Sorted(maps.Keys(st.subscriptions.pending)) {
		names := st.knownClasses(st.subscriptions.names[typeURL])
		if len(names) == 0 {
			continue
		}
		if typeURL == endpointTypeURL {
			if !st.routing.anyAssigned() {
				continue
			}
			st.versions.startNext(time.Now())
		}
		delete(st.subscriptions.pending, typeURL)
		list = append(list, st.newResponse(typeURL, names))
	}
	return list
}

// response returns resources of one type with the present version.
func (st *stream) newResponse(typeURL string, names []string) *ads.DiscoveryResponse {
	version := strconv.Itoa(st.versions.newest)
	response := &ads.DiscoveryResponse{TypeUrl: typeURL, VersionInfo: version, Nonce: version}
	for _, name := range names {
		resource, err := anypb.New(st.resource(typeURL, name))
		if err != nil {
			continue // can't be marshalled: the name is not valid UTF-8
		}
		response.Resources = append(response.Resources, resource)
	}
	return response
}

// knownClasses returns those of the names that are request classes.
func (st *stream) knownClasses(names []string) (list []string) {
	for _, name := range names {
		if slices.Contains(st.classes, name) {
			list = append(list, name)
		}
	}
	return list
}

// subscriptions are the resources that a client has subscribed to, by served type.
type subscriptions struct {
	names   map[string][]string
	pending map[string]bool // types that have to be sent
}

func newSubscriptions() subscriptions {
	return subscriptions{names: map[string][]string{}, pending: map[string]bool{}}
}

// update records the names subscribed to and reports whether they have to be sent, which is the case for the first
// request of a type and after a change.
func (s *subscriptions) update(typeURL string, names []string, first bool) bool {
	if !first && slices.Equal(names, s.names[typeURL]) {
		return false
	}
	s.names[typeURL] = slices.Clone(names)
	s.pending[typeURL] = true
	return true
}
