//! Guards against a drain that accepts new work, ends while work remains, never ends, or reports
//! its end more than once.

use std::collections::BTreeMap;
use std::time::Duration;

use magnoliahatch_core::drain::Drain;
use magnoliahatch_core::drain::DrainAction;
use magnoliahatch_core::drain::DrainState;
use magnoliahatch_core::drain::DrainSubject;
use proptest::prelude::*;

const LIMIT: Duration = Duration::from_millis(50);

fn subjects() -> Vec<DrainSubject> {
    let endpoint = |n: u8| DrainSubject::Endpoint(format!("e{n}"));
    let data_centre = |n: u8| DrainSubject::DataCentre(format!("d{n}"));
    vec![
        endpoint(0),
        endpoint(1),
        endpoint(2),
        data_centre(0),
        data_centre(1),
        DrainSubject::Host("h".to_owned()),
    ]
}

/// Subjects of work on an endpoint. Endpoints 0 and 1 are in data centre 0, endpoint 2 in data
/// centre 1.
fn work(endpoint: usize) -> Vec<DrainSubject> {
    let all = subjects();
    let data_centre = 3 + endpoint / 2;
    vec![
        all[endpoint].clone(),
        all[data_centre].clone(),
        all[5].clone(),
    ]
}

#[derive(Debug, Clone)]
enum Step {
    Start(usize),
    End(usize),
    Drain(usize),
    Restore(usize),
    Advance(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..3usize).prop_map(Step::Start),
        3 => any::<usize>().prop_map(Step::End),
        2 => (0..6usize).prop_map(Step::Drain),
        1 => (0..6usize).prop_map(Step::Restore),
        1 => (0..60u64).prop_map(Step::Advance),
    ]
}

/// Reference model: the running work, and for each subject out of service the time at which its
/// drain started, or `None` once the end of the drain has been reported.
#[derive(Debug, Default)]
struct Model {
    running: Vec<usize>,
    drain_starts: BTreeMap<DrainSubject, Option<Duration>>,
}

impl Model {
    fn work_count(&self, subject: &DrainSubject) -> usize {
        let running = self.running.iter();
        running.filter(|e| work(**e).contains(subject)).count()
    }

    fn record(&mut self, actions: Vec<DrainAction>, now: Duration) -> Result<(), TestCaseError> {
        for action in actions {
            let (subject, left) = match action {
                DrainAction::Drained { subject } => (subject, 0),
                DrainAction::Expired { subject, remaining } => {
                    prop_assert!(remaining > 0);
                    (subject, remaining)
                }
            };
            prop_assert_eq!(self.work_count(&subject), left);
            let since = self.drain_starts.get_mut(&subject).and_then(Option::take);
            prop_assert!(
                since.is_some(),
                "{subject:?}: its drain ended twice or never started"
            );
            prop_assert!(left == 0 || now - since.unwrap_or_default() >= LIMIT);
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2000))]

    #[test]
    fn drain_agrees_with_the_model(steps in prop::collection::vec(step(), 1..80)) {
        let (mut drain, mut model) = (Drain::default(), Model::default());
        let mut now = Duration::ZERO;
        for step in steps {
            match step {
                Step::Start(endpoint) => {
                    let subjects = work(endpoint);
                    let accepted = !subjects.iter().any(|s| model.drain_starts.contains_key(s));
                    prop_assert_eq!(drain.on_start(&subjects), accepted);
                    if accepted {
                        model.running.push(endpoint);
                    }
                }
                Step::End(index) => {
                    if !model.running.is_empty() {
                        let endpoint = model.running.swap_remove(index % model.running.len());
                        model.record(drain.on_end(&work(endpoint)), now)?;
                    }
                }
                Step::Drain(index) => {
                    let subject = subjects()[index].clone();
                    model.drain_starts.entry(subject.clone()).or_insert(Some(now));
                    model.record(drain.on_drain(subject, LIMIT, now), now)?;
                }
                Step::Restore(index) => {
                    let subject = &subjects()[index];
                    drain.on_restore(subject);
                    model.drain_starts.remove(subject);
                }
                Step::Advance(millis) => {
                    now += Duration::from_millis(millis);
                    model.record(drain.on_tick(now), now)?;
                }
            }
            for subject in subjects() {
                let remaining = drain.remaining(&subject);
                prop_assert_eq!(remaining, model.work_count(&subject));
                match (drain.state(&subject), model.drain_starts.get(&subject)) {
                    (DrainState::InService, None) | (DrainState::OutOfService, Some(None)) => {}
                    (DrainState::Draining { until }, Some(Some(since))) => {
                        prop_assert!(remaining > 0, "the drain has ended, but was not reported");
                        prop_assert_eq!(until, *since + LIMIT);
                        prop_assert!(drain.next_tick().is_some_and(|next| next <= until));
                    }
                    other => prop_assert!(false, "{subject:?}: {other:?}"),
                }
            }
        }
        // All drains end within the time limit.
        now += LIMIT;
        model.record(drain.on_tick(now), now)?;
        prop_assert_eq!(drain.next_tick(), None);
        prop_assert!(model.drain_starts.values().all(Option::is_none));
    }
}
