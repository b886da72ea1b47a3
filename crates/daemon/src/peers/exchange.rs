//! Exchanges configuration with peers.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use magnoliahatch_core::ids::HostId;
use magnoliahatch_core::ids::Revision;
use tokio::sync::mpsc;
use tokio::time::MissedTickBehavior;

use crate::config::handle::ConfigHandle;
use crate::mesh::Mesh;
use crate::mesh::event::MeshEvent;

/// Time between two requests for what a peer has and this host lacks.
const PULL: Duration = Duration::from_millis(250);
/// Age after which a peer's announcement is not taken for its state.
const REPORT_AGE: Duration = Duration::from_secs(3);

/// Starts the task; it ends with the mesh.
pub fn spawn(config: Arc<ConfigHandle>, mesh: Mesh, events: mpsc::Receiver<MeshEvent>) {
    let exchange = Exchange {
        config,
        mesh,
        request: 0,
        asked: None,
    };
    tokio::spawn(exchange.run(events));
}

struct Exchange {
    config: Arc<ConfigHandle>,
    mesh: Mesh,
    /// Number of the last pull.
    request: u64,
    /// The last pull: its number, when it was sent and the peer's age of knowledge is unknown, so
    /// only a peer that reaches the store itself vouches for being current.
    asked: Option<(u64, Instant, bool)>,
}

impl Exchange {
    async fn run(mut self, mut events: mpsc::Receiver<MeshEvent>) {
        let mut ticks = tokio::time::interval(PULL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                event = events.recv() => match event {
                    Some(event) => self.on_event(event),
                    None => return,
                },
                _ = ticks.tick() => self.pull(),
            }
        }
    }

    /// Asks the peer with the newest configuration if it is ahead.
    fn pull(&mut self) {
        let view = self.config.view();
        let Some((host, revision, reached)) = self.newest() else {
            return;
        };
        if revision > view.revision || !view.filled {
            self.request += 1;
            self.asked = Some((self.request, Instant::now(), reached));
            self.mesh.pull(&host, self.request, view.revision);
        }
    }

    fn newest(&self) -> Option<(HostId, Revision, bool)> {
        let reports = self.mesh.reports();
        let reports = reports.borrow();
        let live = reports
            .iter()
            .filter(|(_, report)| report.heard.elapsed() < REPORT_AGE);
        let newest = live.max_by_key(|(_, report)| report.announcement.revision);
        newest.map(|(host, report)| {
            let announcement = &report.announcement;
            (
                host.clone(),
                announcement.revision,
                announcement.store_reached,
            )
        })
    }

    fn on_event(&mut self, event: MeshEvent) {
        match event {
            MeshEvent::ConfigPull {
                from,
                request,
                after,
            } => {
                if let Some(patch) = self.config.patch(after) {
                    self.mesh.push(&from, request, &patch);
                }
            }
            MeshEvent::ConfigPush {
                from,
                request,
                changes,
            } => {
                let merged = self.config.merge(&changes);
                if merged.gap {
                    self.request += 1;
                    self.mesh
                        .pull(&from, self.request, self.config.view().revision);
                    return;
                }
                if let Some((asked, sent, true)) = self.asked
                    && asked == request
                {
                    self.config.confirm(changes.revision, sent);
                }
            }
        }
    }
}
