package xdsedge

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

// The types of resources that are served.
const (
	typeListener = "type.googleapis.com/envoy.config.listener.v3.Listener"
	typeCluster  = "type.googleapis.com/envoy.config.cluster.v3.Cluster"
	typeEndpoint = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
)

var servedTypes = []string{typeListener, typeCluster, typeEndpoint}

// resource returns a request class's resource of a type that is served.
func (st *stream) resource(typeURL, class string) proto.Message {
	switch typeURL {
	case typeListener:
		return listenerOf(class)
	case typeCluster:
		return clusterOf(class)
	}
	return st.routing.assignment(class)
}

// listenerOf returns the listener of a request class, which routes all to the cluster of that name.
func listenerOf(class string) *listener.Listener {
	manager := &hcm.HttpConnectionManager{
		RouteSpecifier: &hcm.HttpConnectionManager_RouteConfig{RouteConfig: routesOf(class)},
		HttpFilters: []*hcm.HttpFilter{{
			Name:       "router",
			ConfigType: &hcm.HttpFilter_TypedConfig{TypedConfig: anyOf(&router.Router{})},
		}},
	}
	return &listener.Listener{
		Name:        class,
		ApiListener: &listener.ApiListener{ApiListener: anyOf(manager)},
	}
}

// routesOf returns the one route of a request class.
func routesOf(class string) *route.RouteConfiguration {
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

// clusterOf returns the cluster of a request class: its endpoints come over this stream, and its load is reported to
// this server.
func clusterOf(class string) *cluster.Cluster {
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

// anyOf packs a message that was made here, which can't fail.
func anyOf(m proto.Message) *anypb.Any {
	packed, _ := anypb.New(m)
	return packed
}
