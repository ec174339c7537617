package daemon

import (
	"errors"
	"fmt"
	"net"
	"strconv"

	"indigousher/internal/config"
	"indigousher/internal/controller"
	"indigousher/internal/identity"
	"indigousher/internal/transport/gossip"
)

// openGossip opens the socket between controllers, if the configuration names one.
func (d *Daemon) openGossip(cfg *config.Pilot) error {
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
	service, err := gossip.Open(d.options.Packet(conn), cfg.Rank, addressesByRank(cfg.Peers), lateLoop{d}, log)
	if err != nil {
		return errors.Join(err, conn.Close())
	}
	service.Secret = secret
	d.gossip = service
	return nil
}

// loadGossipSecret returns the secret in a file; without a file there is none.
func loadGossipSecret(file string) (*identity.Secret, error) {
	if file == "" {
		return nil, nil
	}
	return identity.LoadSecret(file)
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
func (d *Daemon) peersForCore() controller.GossipSender {
	if d.gossip == nil {
		return gossip.Disabled{}
	}
	return d.gossip
}
