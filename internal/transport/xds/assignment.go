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
	localityWeightScale = 10000
	// maxWeight bounds locality weights, so that the sum of 4096 fits into 32 bits, as xDS requires.
	maxLocalityWeight = math.MaxUint32 / 4096
	// dropUnits is the denominator of the fraction of requests to drop.
	dropDenominator = 1_000_000
)

// assignment returns the table of a request class as an EDS resource: one weighted locality per endpoint, without
// excluded endpoints. An admission level below 1 becomes a fraction of requests to drop.
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

// localityOf returns a locality with one endpoint. Its sub-zone is the endpoint's address, by which the client's load
// reports identify the endpoint.
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

// wireWeight returns the locality weight for a weight. It is at least 1, since clients ignore localities of weight 0.
func localityWeight(weight float64) uint32 {
	return uint32(math.Max(1, math.Min(math.Round(weight*localityWeightScale), maxLocalityWeight)))
}

// dropPolicy returns the policy to drop a fraction of the requests.
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

// splitAddress returns the host and port of an address, if it has both.
func splitAddress(address string) (host string, port uint32, ok bool) {
	colon := strings.LastIndexByte(address, ':')
	if colon <= 0 {
		return "", 0, false
	}
	number, err := strconv.ParseUint(address[colon+1:], 10, 16)
	return address[:colon], uint32(number), err == nil
}
