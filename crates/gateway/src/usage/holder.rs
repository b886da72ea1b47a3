//! Sends the usage reports while this host holds the duty, and takes the duty over.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use magnoliahatch_core::ids::Revision;

use crate::clock;
use crate::model::duty_record::DutyRecord;
use crate::model::kind::ObjectKind;
use crate::model::object::Content;
use crate::model::store_revision;
use crate::model::usage_report::UsageReport;
use crate::model::usage_report::WindowIndex;
use crate::node::Node;
use crate::platform::Platform;
use crate::platform::Store;
use crate::platform::UsageCall;
use crate::policy::usage_duty;
use crate::policy::usage_duty::CallOutcome;
use crate::policy::usage_duty::DutySituation;
use crate::policy::usage_duty::DutyStep;
use crate::policy::usage_duty::WriteOutcome;
use crate::report_error::ReportError;
use crate::store_error::StoreError;
use crate::usage::reference_clocks;
use crate::usage::usage_state::UsageState;

/// Interval of the steps.
const STEP_INTERVAL: Duration = Duration::from_millis(100);
/// A host that was no aggregator and got no counts for this long forgets its windows. It must be
/// shorter than senders keep batches, since they send them again to a host that becomes one.
const WINDOWS_LIFETIME: Duration = Duration::from_secs(20);
/// Name of the record of the duty.
const RECORD_NAME: &str = "usage";

/// Carries out the steps of the duty until the process ends.
pub async fn run<P: Platform>(node: Rc<Node<P>>) {
    let Some(usage) = &node.usage else { return };
    let task = HolderTask {
        node: &node,
        usage,
        last_sent: Cell::default(),
        lacks_clocks: Cell::default(),
    };
    let mut held = false;
    loop {
        tokio::time::sleep(STEP_INTERVAL).await;
        let step = task.next_step();
        task.carry_out(step).await;
        task.publish_holder(&mut held);
    }
}

struct HolderTask<'a, P: Platform> {
    node: &'a Rc<Node<P>>,
    usage: &'a UsageState,
    /// Window of the last report that was sent.
    last_sent: Cell<Option<WindowIndex>>,
    /// Whether too few clocks were read to know the time.
    lacks_clocks: Cell<bool>,
}

impl<P: Platform> HolderTask<'_, P> {
    fn next_step(&self) -> DutyStep {
        let (node, usage) = (self.node, self.usage);
        let now = clock::now();
        let mut aggregators = usage.aggregators(node).into_iter();
        let rank = aggregators.position(|host| host == node.settings.host);
        let duty = usage.duty.borrow();
        if rank.is_some() || duty.is_holder() {
            usage.open_windows(node);
        } else if now.saturating_sub(usage.last_use.get()) > WINDOWS_LIFETIME {
            *usage.windows.borrow_mut() = None;
        }
        let situation = DutySituation {
            rank,
            holder_ended: duty.record().is_some_and(|(_, r)| self.has_ended(r)),
            stopping: node.is_stopping(),
        };
        duty.next(now, &situation, |last| self.next_report(last))
    }

    /// Whether the process that a record names is known to have ended.
    fn has_ended(&self, record: &DutyRecord) -> bool {
        let view = self.node.view.borrow();
        let host = view.host(&record.holder);
        host.is_none_or(|h| h.incarnation != record.incarnation)
    }

    fn next_report(&self, last: Option<WindowIndex>) -> Option<UsageReport> {
        let now = clock::now();
        let mut clocks = self.usage.clocks.borrow_mut();
        clocks.on_clock(&self.node.settings.host, clock::wall(), now);
        let (count, required) = (
            clocks.count(now),
            reference_clocks::required(self.usage, self.node),
        );
        let missing = count < required;
        if self.lacks_clocks.replace(missing) != missing {
            tracing::warn!(
                event = 709,
                count,
                required,
                missing,
                "clocks of other hosts"
            );
        }
        if missing {
            return None;
        }
        let lead = clocks.lead(now)?;
        let mut windows = self.usage.windows.borrow_mut();
        let next = windows.as_mut()?.next_report(last, now, lead)?;
        if next.omitted > 0 {
            let (window, omitted) = (next.report.window, next.omitted);
            self.node
                .metrics
                .count_usage("usage_dropped_windows", omitted);
            tracing::warn!(event = 705, window, omitted, "windows were not reported");
        }
        Some(next.report)
    }

    async fn carry_out(&self, step: DutyStep) {
        match step {
            DutyStep::Wait => {}
            DutyStep::Read => self.read().await,
            DutyStep::Write { expected, record } => {
                self.write(expected, record).await;
                // The calls that follow a write must be sent soon after it.
                if let DutyStep::Send { report, token } = self.next_step() {
                    self.send(report, token).await;
                }
            }
            DutyStep::Send { report, token } => self.send(report, token).await,
        }
    }

    async fn read(&self) {
        let listed = self.node.store.list(ObjectKind::Duties).await;
        let now = clock::now();
        let stored = match listed {
            Ok(listing) => {
                let era = store_revision::era(listing.revision);
                self.usage.duty.borrow_mut().on_era(era, now);
                let mut objects = listing.objects.into_iter();
                match objects.find(|o| o.name == RECORD_NAME) {
                    None => Ok(None),
                    Some(object) => match object.content {
                        Some(Content::Duty(record)) => Ok(Some((object.revision, record))),
                        _ => Err(StoreError::Unreadable(RECORD_NAME.to_owned())),
                    },
                }
            }
            Err(error) => Err(error),
        };
        let mut duty = self.usage.duty.borrow_mut();
        match stored {
            Ok(stored) => duty.on_read(stored, now),
            Err(error) => {
                tracing::info!(event = 702, %error, "record of the duty not read");
                duty.on_read_failed(now);
            }
        }
    }

    async fn write(&self, expected: Option<Revision>, record: DutyRecord) {
        let sent = clock::now();
        let content = Content::Duty(record.clone());
        let store = &self.node.store;
        let written = store.put(ObjectKind::Duties, RECORD_NAME, expected, &content);
        let outcome = match written.await {
            Ok(object) => WriteOutcome::Written(object.revision),
            Err(error) => {
                tracing::info!(event = 703, %error, "record of the duty not written");
                match error {
                    StoreError::Refused(_) | StoreError::Name(_) => WriteOutcome::Refused,
                    _ => WriteOutcome::Unclear,
                }
            }
        };
        let mut duty = self.usage.duty.borrow_mut();
        duty.on_write(record, outcome, sent, clock::now());
    }

    async fn send(&self, report: UsageReport, token: Revision) {
        let window = report.window;
        let total: u64 = report.counts.values().sum();
        let sent = clock::now();
        let call = UsageCall {
            report,
            holder: self.node.settings.host.clone(),
            fencing_token: token,
            deadline: sent + usage_duty::CALL_TIMEOUT,
        };
        let metrics = &self.node.metrics;
        if self.last_sent.replace(Some(window)) == Some(window) {
            metrics.count_usage("usage_repeated_calls", 1);
        }
        let answer = self.node.store.report_usage(&call).await;
        let now = clock::now();
        let outcome = match &answer {
            Ok(()) => CallOutcome::Accepted,
            Err(ReportError::Refused(_)) => CallOutcome::Refused,
            Err(ReportError::Unknown(_)) => CallOutcome::Unknown,
        };
        let mut duty = self.usage.duty.borrow_mut();
        duty.on_call(window, outcome, sent, now);
        drop(duty);
        match answer {
            Ok(()) => self.on_accepted(window, total, now),
            Err(error) => {
                tracing::warn!(event = 704, window, token, %error, "usage report not accepted");
            }
        }
    }

    fn on_accepted(&self, window: WindowIndex, total: u64, now: Duration) {
        let lead = self.usage.clocks.borrow_mut().lead(now);
        let windows = self.usage.windows.borrow();
        let (Some(lead), Some(windows)) = (lead, windows.as_ref()) else {
            return;
        };
        let late = windows.lateness(window, now, lead);
        let late_ms = u64::try_from(late.as_millis()).unwrap_or(u64::MAX);
        let metrics = &self.node.metrics;
        metrics.set_usage("usage_last_window", window);
        metrics.set_usage("usage_lateness_ms", late_ms);
        let overdue = late > self.usage.settings.due;
        tracing::info!(
            event = 701,
            window,
            total,
            late_ms,
            overdue,
            "usage reported"
        );
    }

    /// Makes the holder known to those that ask, and logs a change of this host's part.
    fn publish_holder(&self, held: &mut bool) {
        let duty = self.usage.duty.borrow();
        let record = duty.record();
        let named = record.map(|(revision, record)| (*revision, record.holder.clone()));
        self.usage.on_holder(named.as_ref());
        let holds = duty.is_holder();
        if holds != *held {
            *held = holds;
            let metrics = &self.node.metrics;
            metrics.set_usage("usage_holder", u64::from(holds));
            tracing::info!(
                event = 700,
                holds,
                ?named,
                "holder of usage reports changed"
            );
        }
    }
}
