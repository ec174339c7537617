package daemon

import (
	"indigousher/internal/config"
	"indigousher/internal/controller"
	"indigousher/internal/record"
	"indigousher/internal/transport/gossip"
	"indigousher/internal/transport/healthcheck"
)

// buildCore creates the controller core and its loop. If the record can be used, the core is restored from it;
// otherwise it starts empty.
func (d *Daemon) buildCore(cfg *config.Pilot) error {
	options := d.coreOptions(cfg)
	var resumeAtMs float64 // controller clock in ms at which the loop resumes; 0: the clock starts at 0
	if cfg.RecordDir != "" {
		rebuilt, err := d.openRecord(cfg)
		if err != nil {
			return err
		}
		options.OnTurn = d.newRecorder().Turn
		if rebuilt != nil {
			resumeAtMs = rebuilt.Now() + d.recording.decision.DowntimeMs
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

// newRecorder returns a recorder that writes the core's turns and checkpoints to the record.
func (d *Daemon) newRecorder() *record.Recorder {
	// A closure, because d.core is assigned after the recorder is created.
	checkpoint := func() []controller.Input { return d.core.Checkpoint() }
	return record.NewRecorder(d.recording.writer.Enqueue, checkpoint)
}

// replayOptions returns the options for a core that replays recorded turns. Transports, metrics and logs are disabled,
// so that replayed commands have no external effect.
func (d *Daemon) replayOptions(cfg *config.Pilot) controller.Options {
	options := d.coreOptions(cfg)
	options.Replayed = true
	options.EndpointSource = disabledSource{}
	options.HealthChecker = healthcheck.Disabled{}
	options.Gossip = gossip.Disabled{}
	options.Metrics = nil
	options.Log = func(string) {}
	options.Malformed = func(string, ...string) {}
	options.LinesPerS = 0 // no rate limit during a replay: nothing is sent
	options.Backlog = 0
	return options
}

// disabledSource is an endpoint source that ignores all calls. It is used during a replay.
type disabledSource struct{}

// Watch implements controller.EndpointSource; it does nothing.
func (disabledSource) Watch(bool) {}

// Fetch implements controller.EndpointSource; it does nothing.
func (disabledSource) Fetch() {}
