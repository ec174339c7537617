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

// openGossip opens the socket between controllers, if the configuration names one.
func (d *Daemon) openGossip(cfg *terms.Pilot) error {
	if cfg.PeersListen == "" {
		return nil
	}
	secret, err := loadGossipSecret(cfg.PeersSecret)
	if err != nil {
		return fmt.Errorf("listen for pilots: %w", err)
	}
	conn, err := net.ListenPacket("udp", cfg.PeersListen)
	if err != nil {
		return fmt.Errorf("listen for pilots: %w", err)
	}
	log := d.options.Log.Named("peers")
	service, err := peers.Open(d.options.Packet(conn), cfg.Rank, addressesByRank(cfg.Peers), lateLoop{d}, log)
	if err != nil {
		return errors.Join(err, conn.Close())
	}
	service.Secret = secret
	d.gossip = service
	return nil
}

// loadGossipSecret returns the secret in a file; without a file there is none.
func loadGossipSecret(file string) (*keys.Secret, error) {
	if file == "" {
		return nil, nil
	}
	return keys.LoadSecret(file)
}

// addressesByRank returns the controllers' addresses. Their ranks were checked with the configuration.
func addressesByRank(addresses map[string]string) map[int]string {
	byRank := map[int]string{}
	for text, address := range addresses {
		rank, _ := strconv.Atoi(text)
		byRank[rank] = address
	}
	return byRank
}

// peersForCore returns the way to the other controllers, or one that leads nowhere.
func (d *Daemon) peersForCore() pilot.Peers {
	if d.gossip == nil {
		return peers.Nobody{}
	}
	return d.gossip
}
