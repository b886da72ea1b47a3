//! Task that exchanges heartbeats and loans and serves the queues.

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

use crate::limits::link::Link;
use crate::limits::shared::Shared;
use crate::limits::shared::State;

/// Time between two rounds while nothing waits.
const IDLE: Duration = Duration::from_millis(50);
/// Shortest time between two rounds.
const BUSY: Duration = Duration::from_millis(2);

/// Runs until the link or the configuration channel closes.
pub(crate) async fn run(
    shared: Arc<Shared>,
    mut link: Link,
    mut config: watch::Receiver<Arc<ConfigView>>,
) {
    let mut pause = IDLE;
    loop {
        let mut out = Vec::new();
        tokio::select! {
            incoming = link.input.recv() => {
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
        pause = round(&shared, &mut out);
        for outgoing in out {
            if link.output.try_send(outgoing).is_err() {
                debug!(event = 305, "control message dropped, the mesh is behind");
            }
        }
    }
    shared.lock().stopping = true;
    info!(event = 301, "limits stopped, new statements are refused");
}

/// Logs when this host gains or loses the right to take work.
fn report(state: &mut State, now: Duration) {
    let in_touch = state.coordinator.in_touch(now);
    if in_touch != state.in_touch {
        state.in_touch = in_touch;
        if in_touch {
            info!(
                event = 304,
                "in touch with the store or a majority, statements are admitted"
            );
        } else {
            warn!(
                event = 303,
                "neither store nor majority reached, statements are refused"
            );
        }
    }
    let floor = state.coordinator.seat().floor().map(|f| f.count);
    if floor != state.floor {
        state.floor = floor;
        info!(
            event = 306,
            seats = floor.unwrap_or(0),
            "floor of this host's seat changed"
        );
    }
}

/// One round: due messages and the queues. Returns the time until the next.
fn round(shared: &Shared, out: &mut Vec<Outgoing>) -> Duration {
    let begun = Instant::now();
    let mut state = shared.lock();
    let state = &mut *state;
    let now = shared.now();
    out.extend(state.coordinator.tick(now));
    report(state, now);
    shared.serve(state, now);
    let organisations: Vec<_> = state.rates.keys().cloned().collect();
    let pause = organisations
        .into_iter()
        .filter_map(|organisation| {
            let limit = LimitId::Rate(organisation);
            state.coordinator.share(&limit, now)?.wait()
        })
        .fold(IDLE, Duration::min)
        .max(BUSY);
    let busy = u64::try_from(begun.elapsed().as_nanos()).unwrap_or(u64::MAX);
    shared.busy_ns.fetch_add(busy, Ordering::Relaxed);
    pause
}
