package xdsedge

import (
	"maps"
	"math"
	"slices"
	"strconv"

	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpoint "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	xdstype "github.com/envoyproxy/go-control-plane/envoy/type/v3"
	"google.golang.org/protobuf/types/known/wrapperspb"
)

// assignment lays out a kind's table: a locality for each line, weighed; what is shut out is left out; a level below
// one as a part of the reqs that is dropped.
func (st *stream) assignment(kind string) *endpoint.ClusterLoadAssignment {
	cla := &endpoint.ClusterLoadAssignment{ClusterName: kind}
	number, bound := st.bound[kind]
	if !bound {
		return cla
	}
	t := st.table(number)
	for _, name := range slices.Sorted(maps.Keys(t.weights)) {
		host, port, ok := splitAddress(name)
		if st.excluded[name] || !ok {
			continue
		}
		weight := uint32(math.Max(1, math.Min(math.Round(t.weights[name]*weightUnit), math.MaxUint32/4096)))
		cla.Endpoints = append(cla.Endpoints, &endpoint.LocalityLbEndpoints{
			Locality:            &core.Locality{Region: "indigousher", SubZone: name},
			LoadBalancingWeight: wrapperspb.UInt32(weight),
			LbEndpoints: []*endpoint.LbEndpoint{{HealthStatus: core.HealthStatus_HEALTHY,
				HostIdentifier: &endpoint.LbEndpoint_Endpoint{Endpoint: &endpoint.Endpoint{Address: &core.Address{
					Address: &core.Address_SocketAddress{SocketAddress: &core.SocketAddress{Address: host,
						PortSpecifier: &core.SocketAddress_PortValue{PortValue: port}}}}}}}}})
	}
	if level := st.level(t, kind); level < 1 {
		cla.Policy = &endpoint.ClusterLoadAssignment_Policy{DropOverloads: []*endpoint.ClusterLoadAssignment_Policy_DropOverload{{
			Category: "level", DropPercentage: &xdstype.FractionalPercent{Numerator: uint32(math.Round((1 - level) * dropUnits)),
				Denominator: xdstype.FractionalPercent_MILLION}}}}
	}
	return cla
}

func splitAddress(address string) (string, uint32, bool) {
	for i := len(address) - 1; i > 0; i-- {
		if address[i] == ':' {
			port, err := strconv.ParseUint(address[i+1:], 10, 16)
			return address[:i], uint32(port), err == nil
		}
	}
	return "", 0, false
}
