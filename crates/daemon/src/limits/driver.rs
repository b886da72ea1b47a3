//! Task that exchanges heartbeats and loans with the other hosts and updates the queues.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use magnoliahatch_client::config_view::ConfigView;
use magnoliahatch_core::coordinator::Outgoing;
use magnoliahatch_core::limit::LimitId;
use tokio::sync::watch;
use tokio::time::sleep;
use tracing::debug;
use tracing::info;
use tracing::warn;

use crate::limits::channel::LimitsChannel;
use crate::limits::shared::Shared;
use crate::limits::shared::State;

/// Longest time between two updates.
const MAX_PAUSE: Duration = Duration::from_millis(50);
/// Shortest time between two updates.
const MIN_PAUSE: Duration = Duration::from_millis(2);

/// Runs until the link or the configuration channel closes.
pub(crate) async fn run(
    shared: Arc<Shared>,
    mut channel: LimitsChannel,
    mut config: watch::Receiver<Arc<ConfigView>>,
) {
    let mut pause = MAX_PAUSE;
    loop {
        let mut out = Vec::new();
        tokio::select! {
            incoming = channel.input.recv() => {
                let Some(incoming) = incoming else { break };
                let mut state = shared.lock();
                let now = shared.now();
                out = state.coordinator.on_message(
                    &incoming.from,
                    incoming.incarnation,
                    &incoming.message,
                    now,
                );
            }
            changed = config.changed() => {
                if changed.is_err() {
                    break;
                }
                let view = config.borrow_and_update().clone();
                shared.configure(&view);
            }
            () = shared.wake.notified() => {}
            () = sleep(pause) => {}
        }
        pause = update(&shared, &mut out);
        for outgoing in out {
            if channel.output.try_send(outgoing).is_err() {
                debug!(
                    event = 305,
                    "control message dropped: the channel to the mesh is full or closed"
                );
            }
        }
    }
    shared.lock().stopping = true;
    info!(
        event = 301,
        "limit enforcement stopped, new statements are refused"
    );
}

/// Logs changes of whether this host may accept work, and of its floor.
fn log_changes(state: &mut State, now: Duration) {
    let connected = state.coordinator.is_connected(now);
    if connected != state.logged_connected {
        state.logged_connected = connected;
        if connected {
            info!(
                event = 304,
                "connected to the store or a majority of peers, statements are admitted"
            );
        } else {
            warn!(
                event = 303,
                "neither the store nor a majority of peers is reachable, statements are refused"
            );
        }
    }
    let floor = state.coordinator.seat().floor().map(|f| f.count);
    if floor != state.logged_floor {
        state.logged_floor = floor;
        info!(
            event = 306,
            seats = floor.unwrap_or(0),
            "guaranteed share (floor) of this host changed"
        );
    }
}

/// Collects the messages that are due and updates the queues. Returns the time until the next
/// update.
fn update(shared: &Shared, out: &mut Vec<Outgoing>) -> Duration {
    let started = Instant::now();
    let mut state = shared.lock();
    let state = &mut *state;
    let now = shared.now();
    out.extend(state.coordinator.tick(now));
    log_changes(state, now);
    shared.update_queues(state, now);
    let organisations: Vec<_> = state.rates.keys().cloned().collect();
    let pause = organisations
        .into_iter()
        .filter_map(|organisation| {
            let limit = LimitId::Rate(organisation);
            state.coordinator.share(&limit, now)?.time_until_token()
        })
        .fold(MAX_PAUSE, Duration::min)
        .max(MIN_PAUSE);
    let busy = u64::try_from(started.elapsed().as_nanos()).unwrap_or(u64::MAX);
    shared.busy_ns.fetch_add(busy, Ordering::Relaxed);
    pause
}
