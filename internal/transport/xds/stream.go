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

// stream is the state of one proxy's ADS stream. It implements controller.Stream: the control loop updates the routing
// state, the writer goroutine sends it, and the reader goroutine processes subscriptions and acknowledgements.
type stream struct {
	name    string        // node id of the proxy
	classes []string      // names of the request classes by index; not modified
	wake    chan struct{} // capacity 1; contains an element if there may be a response to send
	end     *shutdown.Signal[struct{}]

	mu            sync.Mutex
	routing       routing
	subscriptions subscriptions
	versions      versions
	lastSeq       uint64 // sequence number of the last load report; 0: none
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

// Send applies commands to the routing state, which the writer then sends. The error is always nil: operations are not
// queued, as only the latest state is sent.
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

// RequestPace does nothing, because an LRS server announces the report interval only once.
func (st *stream) RequestPace(*wire.Pace) error { return nil }

// Close ends the stream. The reason becomes the text of its final status.
func (st *stream) Close(reason string) { st.end.Close(reason) }

// signal wakes the writer goroutine.
func (st *stream) signal() {
	select {
	case st.wake <- struct{}{}:
	default: // a wake-up is pending already
	}
}

// handleRequest processes a request of the client and returns the answers to the ack requests that it acknowledges. The
// error is a status that ends the stream.
func (st *stream) handleRequest(r *ads.DiscoveryRequest) ([]wire.Done, error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	typeURL := r.GetTypeUrl()
	if !slices.Contains(servedTypes, typeURL) {
		return nil, nil // the subscription is not recorded, to bound memory
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

// overdue reports whether a response has been unacknowledged for longer than within.
func (st *stream) overdue(within time.Duration) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.versions.overdue(within)
}

// takeResponses returns the responses to send, sorted by type URL. A type without a subscription to a known request
// class remains pending. Endpoints also remain pending until a table is assigned; until then the client keeps the ones
// it has.
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

// newResponse returns a response that contains the named resources of one type in the newest version.
func (st *stream) newResponse(typeURL string, names []string) *ads.DiscoveryResponse {
	version := strconv.Itoa(st.versions.newest)
	response := &ads.DiscoveryResponse{TypeUrl: typeURL, VersionInfo: version, Nonce: version}
	for _, name := range names {
		resource, err := anypb.New(st.resource(typeURL, name))
		if err != nil {
			continue // marshalling fails if the name is not valid UTF-8
		}
		response.Resources = append(response.Resources, resource)
	}
	return response
}

// knownClasses returns the names that are request classes, in the given order.
func (st *stream) knownClasses(names []string) (list []string) {
	for _, name := range names {
		if slices.Contains(st.classes, name) {
			list = append(list, name)
		}
	}
	return list
}

// subscriptions records the resources that a client has subscribed to. Only served types are recorded.
type subscriptions struct {
	names   map[string][]string // resource names by type URL
	pending map[string]bool     // type URLs of which a response must be sent
}

func newSubscriptions() subscriptions {
	return subscriptions{names: map[string][]string{}, pending: map[string]bool{}}
}

// update records the resource names that a client subscribes to. If first is set or the names have changed, it marks
// the type as pending and returns true.
func (s *subscriptions) update(typeURL string, names []string, first bool) bool {
	if !first && slices.Equal(names, s.names[typeURL]) {
		return false
	}
	s.names[typeURL] = slices.Clone(names)
	s.pending[typeURL] = true
	return true
}
