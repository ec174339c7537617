package daemon

import (
	"indigousher/internal/config"
	"indigousher/internal/controller"
	"indigousher/internal/record"
	"indigousher/internal/transport/gossip"
	"indigousher/internal/transport/healthcheck"
)

// buildCore makes the core and its loop: rebuilt from the record, or new.
func (d *Daemon) buildCore(cfg *config.Pilot) error {
	options := d.coreOptions(cfg)
	var resumeAtMs float64 // on the controller's clock; 0: it starts at 0
	if cfg.RecordDir != "" {
		rebuilt, err := d.openRecord(cfg)
		if err != nil {
			return err
		}
		options.OnTurn = d.newRecorder().Turn
		if rebuilt != nil {
			resumeAtMs = rebuilt.Now() + d.recording.Verdict.AwayMs
			rebuilt.FinishRecovery(options)
			d.core = rebuilt
		}
	}
	if d.core == nil {
		d.core = controller.NewCore(options)
	}
	d.loop = controller.NewLoop(d.core, d.options.Clock, d.options.Log)
	if resumeAtMs > 0 {
		d.loop.ResumeAt(resumeAtMs)
	}
	return nil
}

// newRecorder returns what records the core's turns.
func (d *Daemon) newRecorder() *record.Recorder {
	checkpoint := func() []controller.Input { return d.core.Checkpoint() } // the core is made after the recorder
	return record.NewRecorder(d.recording.writer.Enqueue, checkpoint)
}

// replayOptions returns the options of a core that is being rebuilt: nothing that it commands reaches anybody.
func (d *Daemon) replayOptions(cfg *config.Pilot) controller.Options {
	options := d.coreOptions(cfg)
	options.Replayed = true
	options.EndpointSource = disabledSource{}
	options.HealthChecker = healthcheck.Disabled{}
	options.Gossip = gossip.Disabled{}
	options.Metrics = nil
	options.Log = func(string) {}
	options.Malformed = func(string, ...string) {}
	options.LinesPerS = 0 // not paced: the channel leads nowhere
	options.Backlog = 0
	return options
}

// disabledSource is a source of the endpoint list that is not asked.
type disabledSource struct{}

// Watch does nothing.
func (disabledSource) Watch(bool) {}

// Fetch does nothing.
func (disabledSource) Fetch() {}
