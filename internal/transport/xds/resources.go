package xds

import (
	cluster "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	listener "github.com/envoyproxy/go-control-plane/envoy/config/listener/v3"
	route "github.com/envoyproxy/go-control-plane/envoy/config/route/v3"
	router "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/router/v3"
	hcm "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/network/http_connection_manager/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
)

// The type URLs of the resources that the server provides.
const (
	listenerTypeURL = "type.googleapis.com/envoy.config.listener.v3.Listener"
	clusterTypeURL  = "type.googleapis.com/envoy.config.cluster.v3.Cluster"
	endpointTypeURL = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
)

// servedTypes lists the type URLs that a client may subscribe to. Requests for other types are ignored.
var servedTypes = []string{listenerTypeURL, clusterTypeURL, endpointTypeURL}

// resource returns the resource of a request class with the given type, which must be one of servedTypes.
func (st *stream) resource(typeURL, class string) proto.Message {
	switch typeURL {
	case listenerTypeURL:
		return newListener(class)
	case clusterTypeURL:
		return newCluster(class)
	}
	return st.routing.loadAssignment(class)
}

// newListener returns the listener of a request class, which routes all requests to the cluster of the same name.
func newListener(class string) *listener.Listener {
	manager := &hcm.HttpConnectionManager{
		RouteSpecifier: &hcm.HttpConnectionManager_RouteConfig{RouteConfig: newRoutes(class)},
		HttpFilters: []*hcm.HttpFilter{{
			Name:       "router",
			ConfigType: &hcm.HttpFilter_TypedConfig{TypedConfig: packAny(&router.Router{})},
		}},
	}
	return &listener.Listener{
		Name:        class,
		ApiListener: &listener.ApiListener{ApiListener: packAny(manager)},
	}
}

// newRoutes returns the route configuration of a request class, which has one route to its cluster.
func newRoutes(class string) *route.RouteConfiguration {
	all := &route.RouteMatch{PathSpecifier: &route.RouteMatch_Prefix{Prefix: ""}}
	toCluster := &route.RouteAction{ClusterSpecifier: &route.RouteAction_Cluster{Cluster: class}}
	return &route.RouteConfiguration{
		Name: class,
		VirtualHosts: []*route.VirtualHost{{
			Name:    class,
			Domains: []string{"*"},
			Routes:  []*route.Route{{Match: all, Action: &route.Route_Route{Route: toCluster}}},
		}},
	}
}

// newCluster returns the cluster of a request class. Clients receive its endpoints on the same ADS stream and report
// its load to the same server.
func newCluster(class string) *cluster.Cluster {
	return &cluster.Cluster{
		Name:                 class,
		ClusterDiscoveryType: &cluster.Cluster_Type{Type: cluster.Cluster_EDS},
		EdsClusterConfig: &cluster.Cluster_EdsClusterConfig{
			EdsConfig: &core.ConfigSource{
				ConfigSourceSpecifier: &core.ConfigSource_Ads{Ads: &core.AggregatedConfigSource{}},
			},
			ServiceName: class,
		},
		LrsServer: &core.ConfigSource{
			ConfigSourceSpecifier: &core.ConfigSource_Self{Self: &core.SelfConfigSource{}},
		},
		LbPolicy: cluster.Cluster_ROUND_ROBIN,
	}
}

// packAny packs a message into an Any. The error is ignored because packing cannot fail for the messages built here.
func packAny(m proto.Message) *anypb.Any {
	packed, _ := anypb.New(m)
	return packed
}
