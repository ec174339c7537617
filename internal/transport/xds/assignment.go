package xds

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
	// weightUnit is the locality weight for a weight of 1. Locality weights are integers.
	weightUnit = 10000
	// maxWeight bounds locality weights, so that the sum of 4096 fits into 32 bits, as xDS requires.
	maxWeight = math.MaxUint32 / 4096
	// dropUnits is the denominator of the fraction of requests to drop.
	dropUnits = 1_000_000
)

// assignment returns the table of a request class as an EDS resource: one weighted locality per endpoint, without
// excluded endpoints. An admission level below 1 becomes a fraction of requests to drop.
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

// localityOf returns a locality with one endpoint. Its sub-zone is the endpoint's address, by which the client's load
// reports identify the endpoint.
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

// wireWeight returns the locality weight for a weight. It is at least 1, since clients ignore localities of weight 0.
func wireWeight(weight float64) uint32 {
	return uint32(math.Max(1, math.Min(math.Round(weight*weightUnit), maxWeight)))
}

// dropPolicy returns the policy to drop a fraction of the requests.
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

// splitAddress returns the host and port of an address, if it has both.
func splitAddress(address string) (host string, port uint32, ok bool) {
	colon := strings.LastIndexByte(address, ':')
	if colon <= 0 {
		return "", 0, false
	}
	number, err := strconv.ParseUint(address[colon+1:], 10, 16)
	return address[:colon], uint32(number), err == nil
}
