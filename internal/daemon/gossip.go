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

// openGossip opens the UDP socket for gossip between controllers. It does nothing if no address is configured.
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
	service, err := gossip.Open(d.options.WrapPacketConn(conn), cfg.Rank, addressesByRank(cfg.Peers), deferredLoop{d}, log)
	if err != nil {
		return errors.Join(err, conn.Close())
	}
	service.Secret = secret
	d.gossip = service
	return nil
}

// loadGossipSecret loads the shared keys that encrypt gossip. It returns nil if file is "": gossip is then plain text.
func loadGossipSecret(file string) (*identity.Secret, error) {
	if file == "" {
		return nil, nil
	}
	return identity.LoadSecret(file)
}

// addressesByRank converts the rank keys of the configured peer addresses to integers. The conversion can't fail,
// because the configuration has been validated.
func addressesByRank(addresses map[string]string) map[int]string {
	byRank := map[int]string{}
	for text, address := range addresses {
		rank, _ := strconv.Atoi(text)
		byRank[rank] = address
	}
	return byRank
}

// gossipForCore returns the sender of gossip messages to other controllers. If gossip is not configured, the sender
// discards all messages.
func (d *Daemon) gossipForCore() controller.GossipSender {
	if d.gossip == nil {
		return gossip.Disabled{}
	}
	return d.gossip
}
