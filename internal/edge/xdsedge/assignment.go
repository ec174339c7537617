package xdsedge

import (
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"

	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpoint "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	xdstype "github.com/envoyproxy/go-control-plane/envoy/type/v3"
	"google.golang.org/protobuf/types/known/wrapperspb"
)

const (
	// weightUnit is the whole number that stands for a weight of 1: localities have whole weights.
	weightUnit = 10000
	// maxWeight leaves room for 4096 lines: the sum of a resource's weights must fit 32 bits.
	maxWeight = math.MaxUint32 / 4096
	// dropUnits is what a fraction of dropped requests is expressed in.
	dropUnits = 1_000_000
)

// assignment lays out the table of a request class: a locality for each line, weighed; what is excluded is left out; a
// level below one as a part of the requests that is dropped.
func (r *routing) assignment(class string) *endpoint.ClusterLoadAssignment {
	assignment := &endpoint.ClusterLoadAssignment{ClusterName: class}
	number, bound := r.bound[class]
	if !bound {
		return assignment
	}
	t := r.table(number)
	for _, address := range slices.Sorted(maps.Keys(t.weights)) {
		host, port, ok := splitAddress(address)
		if r.excluded[address] || !ok {
			continue
		}
		assignment.Endpoints = append(assignment.Endpoints, localityOf(address, host, port, t.weights[address]))
	}
	if level := r.level(t, class); level < 1 {
		assignment.Policy = dropPolicy(1 - level)
	}
	return assignment
}

// localityOf lays out a line of a table as a locality of one endpoint. Its sub-zone is the address, which the client
// names in its load reports.
func localityOf(address, host string, port uint32, weight float64) *endpoint.LocalityLbEndpoints {
	socket := &core.SocketAddress{
		Address:       host,
		PortSpecifier: &core.SocketAddress_PortValue{PortValue: port},
	}
	server := &endpoint.Endpoint{
		Address: &core.Address{Address: &core.Address_SocketAddress{SocketAddress: socket}},
	}
	return &endpoint.LocalityLbEndpoints{
		Locality:            &core.Locality{Region: "indigousher", SubZone: address},
		LoadBalancingWeight: wrapperspb.UInt32(wireWeight(weight)),
		LbEndpoints: []*endpoint.LbEndpoint{{
			HealthStatus:   core.HealthStatus_HEALTHY,
			HostIdentifier: &endpoint.LbEndpoint_Endpoint{Endpoint: server},
		}},
	}
}

// wireWeight returns the whole number for a weight; the smallest is 1, as 0 would leave the line out.
func wireWeight(weight float64) uint32 {
	return uint32(math.Max(1, math.Min(math.Round(weight*weightUnit), maxWeight)))
}

// dropPolicy has a client drop a fraction of the requests.
func dropPolicy(fraction float64) *endpoint.ClusterLoadAssignment_Policy {
	return &endpoint.ClusterLoadAssignment_Policy{
		DropOverloads: []*endpoint.ClusterLoadAssignment_Policy_DropOverload{{
			Category: "level",
			DropPercentage: &xdstype.FractionalPercent{
				Numerator:   uint32(math.Round(fraction * dropUnits)),
				Denominator: xdstype.FractionalPercent_MILLION,
			},
		}},
	}
}

// splitAddress returns host and port of an address, if it has both.
func splitAddress(address string) (host string, port uint32, ok bool) {
	colon := strings.LastIndexByte(address, ':')
	if colon <= 0 {
		return "", 0, false
	}
	number, err := strconv.ParseUint(address[colon+1:], 10, 16)
	return address[:colon], uint32(number), err == nil
}
