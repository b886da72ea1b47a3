//! Status and metrics of this host and its peers for the administration API.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

use magnoliahatch_client::admin::FleetStatus;
use magnoliahatch_client::admin::HostReport;
use magnoliahatch_client::admin::drain_progress::DrainProgress;
use magnoliahatch_client::admin::switchover_request::SwitchoverRequest;
use magnoliahatch_client::admin::switchover_result::SwitchoverResult;
use magnoliahatch_client::store::StoreClient;
use magnoliahatch_core::ids::DatabaseId;

use crate::admin::hooks::Hooks;
use crate::admin::hooks::SwitchoverError;
use crate::command_stats::COMMAND_STATS;
use crate::config::handle::ConfigHandle;
use crate::control_runtime::ControlRuntime;
use crate::front::context::SessionContext;
use crate::mesh::Mesh;
use crate::mesh::Reports;
use crate::peers::fleet::Fleet;
use crate::switchover::execute;

/// Age from which a peer's announcement no longer counts as its current state.
const MAX_REPORT_AGE: Duration = Duration::from_secs(4);

/// Provides the callbacks of the administration API.
#[derive(Debug, Clone)]
pub struct Reporter {
    fleet: Fleet,
    context: Arc<SessionContext>,
    config: Arc<ConfigHandle>,
    mesh: Option<Mesh>,
    store: StoreClient,
}

impl Reporter {
    pub fn new(
        fleet: Fleet,
        context: Arc<SessionContext>,
        config: Arc<ConfigHandle>,
        mesh: Option<Mesh>,
        store: StoreClient,
    ) -> Self {
        Self {
            fleet,
            context,
            config,
            mesh,
            store,
        }
    }

    /// Callbacks for the administration API.
    pub fn hooks(&self) -> Hooks {
        let (status, metrics, switchover) = (self.clone(), self.clone(), self.clone());
        Hooks {
            status: Arc::new(move || status.status()),
            metrics: Arc::new(move || metrics.metrics()),
            switchover: Arc::new(move |database, order| {
                let reporter = switchover.clone();
                Box::pin(async move { reporter.switchover(database, order).await })
            }),
        }
    }

    fn status(&self) -> FleetStatus {
        let revision = self.config.view().revision;
        let (has_lease, _) = self.fleet.limits.seat();
        let own = HostReport {
            incarnation: self.fleet.incarnation,
            revision,
            has_lease,
            draining: self.context.is_draining(),
        };
        let reports = self.fleet.reports.borrow();
        let leaving = self.leaving(&reports);
        let peers = reports.iter().map(|(host, report)| {
            let announcement = &report.announcement;
            let report = HostReport {
                incarnation: report.incarnation,
                revision: announcement.revision,
                has_lease: report.received_at.elapsed() < MAX_REPORT_AGE,
                draining: announcement.draining,
            };
            (host.clone(), report)
        });
        FleetStatus {
            revision,
            leaving,
            hosts: peers.chain([(self.fleet.host.clone(), own)]).collect(),
        }
    }

    /// Progress of everything that is leaving service, summed over the live hosts.
    fn leaving(&self, reports: &Reports) -> BTreeMap<String, DrainProgress> {
        let own = self.fleet.drains.remaining(&self.config.view());
        let live = reports.iter().filter(|(_, report)| Fleet::is_live(report));
        let peers: Vec<_> = live
            .map(|(host, report)| (host, &report.announcement.leaving))
            .chain([(&self.fleet.host, &own)])
            .collect();
        let progress = own.keys().map(|subject| {
            let mut leaving = DrainProgress::default();
            for (host, remaining_work) in &peers {
                let remaining_work = remaining_work.get(subject).copied();
                leaving.remaining += remaining_work.unwrap_or(0);
                if remaining_work != Some(0) {
                    leaving.waiting.push((*host).clone());
                }
            }
            leaving.done = leaving.waiting.is_empty();
            (subject.clone(), leaving)
        });
        progress.collect()
    }

    /// Counters of the daemon, one `name value` per line.
    fn metrics(&self) -> String {
        let mut text = String::new();
        let mut line = |name: &str, value: u128| {
            // Writing to a string cannot fail.
            let _ = writeln!(text, "{name} {value}");
        };
        line("uptime_us", self.fleet.start.elapsed().as_micros());
        if let Some(cpu) = ControlRuntime::control_cpu_time() {
            line("control_cpu_us", cpu.as_micros());
        }
        if let Some(cpu) = ControlRuntime::process_cpu_time() {
            line("process_cpu_us", cpu.as_micros());
        }
        if let Some(resident) = ControlRuntime::resident_bytes() {
            line("resident_bytes", resident.into());
        }
        line("limits_busy_us", self.fleet.limits.busy().as_micros());
        if let Some(mesh) = &self.mesh {
            let stats = mesh.stats().snapshot();
            line("mesh_sent_frames", stats.sent.into());
            line("mesh_sent_bytes", stats.sent_bytes.into());
            line("mesh_wire_bytes", stats.wire_bytes.into());
            line("mesh_received_frames", stats.received.into());
            line("mesh_received_bytes", stats.received_bytes.into());
            line("mesh_dropped_frames", stats.dropped.into());
            line("mesh_refused_frames", stats.refused.into());
        }
        let store = self.store.traffic();
        line("store_calls", store.calls.into());
        line("store_sent_bytes", store.sent_bytes.into());
        line("store_received_bytes", store.received_bytes.into());
        let commands = COMMAND_STATS.snapshot();
        line("verb_calls", commands.calls.into());
        line("verb_connections", commands.opened.into());
        line("verb_sent_bytes", commands.sent_bytes.into());
        line("verb_received_bytes", commands.received_bytes.into());
        line("revision", self.config.view().revision.into());
        line("sessions", self.context.cancel_registry.len() as u128);
        line("databases", self.context.registry.all().len() as u128);
        for database in self.context.registry.all() {
            let name = &database.name;
            line(
                &format!("waiting_for_primary{{{name}}}"),
                database.waiting() as u128,
            );
        }
        text
    }

    async fn switchover(
        &self,
        database: DatabaseId,
        order: SwitchoverRequest,
    ) -> Result<SwitchoverResult, SwitchoverError> {
        let Some(group) = self.context.registry.get(&database, &self.config.view()) else {
            return Err(SwitchoverError::NoMajority);
        };
        execute::run(&self.fleet, &group, order.member).await
    }
}
