//! Task that exchanges configuration changes with peers.

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

/// Interval of requests for changes that a peer has and this host lacks.
const PULL_INTERVAL: Duration = Duration::from_millis(250);
/// Age after which the announcement of a peer is no longer used.
const MAX_REPORT_AGE: Duration = Duration::from_secs(3);

/// Starts the task, which ends when the mesh closes.
pub fn spawn(config: Arc<ConfigHandle>, mesh: Mesh, events: mpsc::Receiver<MeshEvent>) {
    let exchange = Exchange {
        config,
        mesh,
        request: 0,
        last_pull: None,
    };
    tokio::spawn(exchange.run(events));
}

struct Exchange {
    config: Arc<ConfigHandle>,
    mesh: Mesh,
    /// Number of the last pull request.
    request: u64,
    /// The last pull request: its number, when it was sent, and whether the peer reached the store.
    /// It is not known how old the knowledge of a peer is, so only an answer from a peer that
    /// reaches the store confirms that the configuration is current.
    last_pull: Option<(u64, Instant, bool)>,
}

impl Exchange {
    async fn run(mut self, mut events: mpsc::Receiver<MeshEvent>) {
        let mut ticks = tokio::time::interval(PULL_INTERVAL);
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

    /// Requests changes from the peer with the newest configuration if it is ahead of this host.
    fn pull(&mut self) {
        let view = self.config.view();
        let Some((host, revision, reached)) = self.newest() else {
            return;
        };
        if revision > view.revision || !view.loaded {
            self.request += 1;
            self.last_pull = Some((self.request, Instant::now(), reached));
            self.mesh.pull(&host, self.request, view.revision);
        }
    }

    /// The peer with the newest configuration, its revision, and whether it reaches the store.
    fn newest(&self) -> Option<(HostId, Revision, bool)> {
        let reports = self.mesh.reports();
        let reports = reports.borrow();
        let live = reports
            .iter()
            .filter(|(_, report)| report.received_at.elapsed() < MAX_REPORT_AGE);
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
                if let Some((last, sent, true)) = self.last_pull
                    && last == request
                {
                    self.config.confirm(changes.revision, sent);
                }
            }
        }
    }
}
