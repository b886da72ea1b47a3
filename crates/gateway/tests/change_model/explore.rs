//! Breadth-first exploration with a set of visited states.

use std::collections::HashSet;
use std::collections::VecDeque;
use std::fmt;
use std::fmt::Write;
use std::hash::DefaultHasher;
use std::hash::Hasher;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use crate::world::Event;
use crate::world::World;

/// One in this many of the last states is followed without faults until a primary is in use again.
const CALM_SAMPLE: u64 = 64;

pub(crate) struct Found {
    pub(crate) states: usize,
    pub(crate) took: Duration,
    /// The numbered steps to the first state that breaks a rule.
    pub(crate) counterexample: Option<String>,
}

/// The events that led to a state, from the last one. A state is kept as its path only, since many
/// wait to be explored.
struct Path {
    event: Event,
    before: Option<Rc<Path>>,
}

pub(crate) fn explore(start: &World, depth: usize) -> Found {
    let began = Instant::now();
    let mut visited = HashSet::from([key(start)]);
    let mut queue: VecDeque<(Option<Rc<Path>>, usize)> = VecDeque::from([(None, 0)]);
    let mut counterexample = None;
    'search: while let Some((path, steps)) = queue.pop_front() {
        let world = replay(start, path.as_ref());
        for event in world.events() {
            let mut next = world.clone();
            if !next.apply(event) {
                continue;
            }
            let path = Some(Rc::new(Path {
                event,
                before: path.clone(),
            }));
            let key = key(&next);
            let is_last = steps + 1 == depth;
            let mut broken = next.broken.clone().or_else(|| next.check());
            if broken.is_none() && is_last && key.is_multiple_of(CALM_SAMPLE) {
                broken = next.stays_without_primary();
            }
            if let Some(rule) = broken {
                counterexample = Some(describe(path.as_ref(), &rule));
                break 'search;
            }
            if visited.insert(key) && !is_last {
                queue.push_back((path, steps + 1));
            }
        }
    }
    Found {
        states: visited.len(),
        took: began.elapsed(),
        counterexample,
    }
}

fn events(path: Option<&Rc<Path>>) -> Vec<Event> {
    let mut events = Vec::new();
    let mut at = path;
    while let Some(path) = at {
        events.push(path.event);
        at = path.before.as_ref();
    }
    events.reverse();
    events
}

fn replay(start: &World, path: Option<&Rc<Path>>) -> World {
    let mut world = start.clone();
    for event in events(path) {
        assert!(world.apply(event), "the model is not deterministic");
    }
    world
}

struct HashWriter(DefaultHasher);

impl Write for HashWriter {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        self.0.write(text.as_bytes());
        Ok(())
    }
}

/// Two states with the same key are taken for equal.
fn key(world: &World) -> u64 {
    let mut writer = HashWriter(DefaultHasher::new());
    write!(writer, "{world:?}").expect("hashing does not fail");
    writer.0.finish()
}

fn describe(path: Option<&Rc<Path>>, rule: &str) -> String {
    let events = events(path);
    let steps = events.iter().enumerate();
    let steps: Vec<String> = steps.map(|(i, e)| format!("{}. {e:?}", i + 1)).collect();
    format!("{}\n{rule}", steps.join("\n"))
}
