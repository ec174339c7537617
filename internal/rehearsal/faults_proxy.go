package rehearsal

import (
	"context"

	"indigousher/internal/backoff"
	"indigousher/internal/scenario"
	"indigousher/internal/testbed/proxy"
)

func (s *stage) playProxyFault(ctx context.Context, t scenario.Fault) error {
	var names []string
	by := map[string]*proxy.Proxy{}
	for _, p := range s.proxies {
		names, by[p.Name] = append(names, p.Name), p
	}
	struck := s.targets(t, names)
	switch t.What {
	case "reconnect":
		for _, n := range struck {
			by[n].Drop()
		}
	case "counter_down":
		for _, n := range struck {
			s.isolated[n].Store(true)
			by[n].Drop()
		}
		backoff.Sleep(ctx, t.For)
		for _, n := range struck {
			s.isolated[n].Store(false)
		}
	case "mute_proxy":
		for _, n := range struck {
			s.muted[n].Store(true)
		}
		backoff.Sleep(ctx, t.For)
		for _, n := range struck {
			s.muted[n].Store(false)
		}
	case "silent": // in the middle of whatever it says
		for _, n := range struck {
			s.network.SetBlackhole(n, true)
		}
		backoff.Sleep(ctx, t.For)
		for _, n := range struck {
			s.network.SetBlackhole(n, false)
		}
	case "report_burst":
		for _, n := range struck {
			s.reportFactors[n].Store(int64(t.Size * 1000))
		}
		backoff.Sleep(ctx, t.For)
		for _, n := range struck {
			s.reportFactors[n].Store(1000)
		}
	case "proxy_crash":
		for _, n := range struck {
			by[n].Kill()
		}
		if !backoff.Sleep(ctx, t.For) {
			return nil
		}
		for _, n := range struck {
			if err := by[n].Start(); err != nil {
				return err
			}
		}
	case "proxy_roll":
		for _, n := range struck {
			by[n].Kill()
			if !backoff.Sleep(ctx, t.Extra) {
				return nil
			}
			if err := by[n].Start(); err != nil {
				return err
			}
			backoff.Sleep(ctx, t.Every)
		}
	}
	return nil
}
