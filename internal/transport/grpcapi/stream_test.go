package grpcapi

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	pb "indigousher/proto/indigousher/v1"
)

// TestVersions checks that an acknowledgement covers all earlier versions, and that repeated, premature, refusing and
// invalid ones are rejected.
func TestVersions(t *testing.T) {
	var v versions
	now := time.Now()
	for i := range uint32(3) {
		a := &pb.Assignment{Marks: []uint32{10 + i}}
		v.add(a, now)
		assert.EqualValues(t, i, a.GetBase())
		assert.EqualValues(t, i+1, a.GetVersion())
	}
	ackNumbers, err := v.acknowledge(&pb.Ack{Version: 2})
	require.NoError(t, err)
	assert.Equal(t, []int{10, 11}, ackNumbers, "ack requests of all versions up to the acknowledged one")
	version, sentAt, ok := v.oldestUnacked()
	assert.True(t, ok)
	assert.EqualValues(t, 3, version)
	assert.Equal(t, now, sentAt)
	for _, c := range []struct {
		name string
		ack  *pb.Ack
		want codes.Code
	}{
		{"acknowledged before", &pb.Ack{Version: 2}, codes.InvalidArgument},
		{"never sent", &pb.Ack{Version: 4}, codes.InvalidArgument},
		{"refused", &pb.Ack{Version: 3, Refusal: "no such table"}, codes.Aborted},
		{"negative TookMs", &pb.Ack{Version: 3, TookMs: -1}, codes.InvalidArgument},
	} {
		_, err := v.acknowledge(c.ack)
		assert.Equal(t, c.want, status.Code(err), c.name)
	}
	_, err = v.acknowledge(&pb.Ack{Version: 3})
	require.NoError(t, err)
	_, _, ok = v.oldestUnacked()
	assert.False(t, ok)
}
