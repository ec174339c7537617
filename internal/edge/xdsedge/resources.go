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

// The types of resources.
const (
	typeListener = "type.googleapis.com/envoy.config.listener.v3.Listener"
	typeCluster  = "type.googleapis.com/envoy.config.cluster.v3.Cluster"
	typeEndpoint = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
)

var servedTypes = []string{typeListener, typeCluster, typeEndpoint}

func (st *stream) resource(t, kind string) proto.Message {
	switch t {
	case typeListener:
		return listenerOf(kind)
	case typeCluster:
		return clusterOf(kind)
	}
	return st.assignment(kind)
}

func anyOf(m proto.Message) *anypb.Any {
	a, _ := anypb.New(m) // of messages made here
	return a
}

func listenerOf(kind string) *listener.Listener {
	return &listener.Listener{Name: kind, ApiListener: &listener.ApiListener{ApiListener: anyOf(&hcm.HttpConnectionManager{
		RouteSpecifier: &hcm.HttpConnectionManager_RouteConfig{RouteConfig: &route.RouteConfiguration{Name: kind,
			VirtualHosts: []*route.VirtualHost{{Name: kind, Domains: []string{"*"}, Routes: []*route.Route{{
				Match: &route.RouteMatch{PathSpecifier: &route.RouteMatch_Prefix{Prefix: ""}},
				Action: &route.Route_Route{Route: &route.RouteAction{
					ClusterSpecifier: &route.RouteAction_Cluster{Cluster: kind}}}}}}}}},
		HttpFilters: []*hcm.HttpFilter{{Name: "router", ConfigType: &hcm.HttpFilter_TypedConfig{TypedConfig: anyOf(&router.Router{})}}}})}}
}

func clusterOf(kind string) *cluster.Cluster {
	self := &core.ConfigSource{ConfigSourceSpecifier: &core.ConfigSource_Self{Self: &core.SelfConfigSource{}}}
	return &cluster.Cluster{Name: kind, ClusterDiscoveryType: &cluster.Cluster_Type{Type: cluster.Cluster_EDS},
		EdsClusterConfig: &cluster.Cluster_EdsClusterConfig{EdsConfig: &core.ConfigSource{
			ConfigSourceSpecifier: &core.ConfigSource_Ads{Ads: &core.AggregatedConfigSource{}}}, ServiceName: kind},
		LrsServer: self, LbPolicy: cluster.Cluster_ROUND_ROBIN}
}
