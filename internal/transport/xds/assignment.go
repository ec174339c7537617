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
	// localityWeightScale is the locality weight of an endpoint with weight 1. Locality weights are integers.
	localityWeightScale = 10000
	// maxLocalityWeight is the largest locality weight. xDS requires that the sum of all locality weights fits into 32
	// bits; this value allows 4096 endpoints.
	maxLocalityWeight = math.MaxUint32 / 4096
	// dropDenominator is the denominator of the fraction of requests to drop.
	dropDenominator = 1_000_000
)

// loadAssignment returns the EDS resource of a request class, which contains a weighted locality for each endpoint in
// the table of the class, except excluded endpoints and those without a valid address. If the admission level is below
// 1, it also contains the fraction of requests to drop. If no table is assigned to the class, the resource has no
// endpoints.
func (r *routing) loadAssignment(class string) *endpoint.ClusterLoadAssignment {
	resource := &endpoint.ClusterLoadAssignment{ClusterName: class}
	tableNumber, assigned := r.tableByClass[class]
	if !assigned {
		return resource
	}
	table := r.table(tableNumber)
	for _, address := range slices.Sorted(maps.Keys(table.weights)) {
		host, port, ok := splitAddress(address)
		if r.excluded[address] || !ok {
			continue
		}
		resource.Endpoints = append(resource.Endpoints, newLocality(address, host, port, table.weights[address]))
	}
	if level := r.admissionLevel(table, class); level < 1 {
		resource.Policy = dropPolicy(1 - level)
	}
	return resource
}

// newLocality returns a locality that contains one endpoint. The sub-zone is the endpoint's address, which identifies
// the endpoint in the load reports of the client.
func newLocality(address, host string, port uint32, weight float64) *endpoint.LocalityLbEndpoints {
	socket := &core.SocketAddress{
		Address:       host,
		PortSpecifier: &core.SocketAddress_PortValue{PortValue: port},
	}
	server := &endpoint.Endpoint{
		Address: &core.Address{Address: &core.Address_SocketAddress{SocketAddress: socket}},
	}
	return &endpoint.LocalityLbEndpoints{
		Locality:            &core.Locality{Region: "indigousher", SubZone: address},
		LoadBalancingWeight: wrapperspb.UInt32(localityWeight(weight)),
		LbEndpoints: []*endpoint.LbEndpoint{{
			HealthStatus:   core.HealthStatus_HEALTHY,
			HostIdentifier: &endpoint.LbEndpoint_Endpoint{Endpoint: server},
		}},
	}
}

// localityWeight converts the weight of an endpoint to a locality weight. The result is at least 1, because clients
// ignore localities with weight 0.
func localityWeight(weight float64) uint32 {
	return uint32(math.Max(1, math.Min(math.Round(weight*localityWeightScale), maxLocalityWeight)))
}

// dropPolicy returns a policy by which the client drops a fraction, from 0 to 1, of its requests.
func dropPolicy(fraction float64) *endpoint.ClusterLoadAssignment_Policy {
	return &endpoint.ClusterLoadAssignment_Policy{
		DropOverloads: []*endpoint.ClusterLoadAssignment_Policy_DropOverload{{
			Category: "level",
			DropPercentage: &xdstype.FractionalPercent{
				Numerator:   uint32(math.Round(fraction * dropDenominator)),
				Denominator: xdstype.FractionalPercent_MILLION,
			},
		}},
	}
}

// splitAddress splits an address of the form host:port. ok is false if the address has no host or no valid port.
func splitAddress(address string) (host string, port uint32, ok bool) {
	colon := strings.LastIndexByte(address, ':')
	if colon <= 0 {
		return "", 0, false
	}
	number, err := strconv.ParseUint(address[colon+1:], 10, 16)
	return address[:colon], uint32(number), err == nil
}
