package daemon

import (
	"errors"
	"fmt"
	"net"
	"strconv"

	"indigousher/internal/edge/peers"
	"indigousher/internal/keys"
	"indigousher/internal/pilot"
	"indigousher/internal/terms"
)

func (d *Daemon) openGossip(t *terms.Pilot) (pilot.Peers, error) {
	if t.PeersListen == "" {
		return peers.Nobody{}, nil
	}
	var secret *keys.Secret
	if t.PeersSecret != "" {
		var err error
		if secret, err = keys.LoadSecret(t.PeersSecret); err != nil {
			return nil, fmt.Errorf("listen for pilots: %w", err)
		}
	}
	conn, err := net.ListenPacket("udp", t.PeersListen)
	if err != nil {
		return nil, fmt.Errorf("listen for pilots: %w", err)
	}
	ranks := map[int]string{}
	for r, a := range t.Peers {
		n, _ := strconv.Atoi(r) // checked with the terms
		ranks[n] = a
	}
	if d.gossip, err = peers.Open(d.options.Packet(conn), t.Rank, ranks, lateLoop{d}, d.options.Log.Named("peers")); err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	d.gossip.Secret = secret
	return d.gossip, nil
}
