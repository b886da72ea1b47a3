//! Runs the selected measurements.

use std::path::PathBuf;

use clap::ValueEnum;
use clap::builder::PossibleValue;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;

use crate::capacity::clients;
use crate::capacity::error::CapacityError;
use crate::capacity::events;
use crate::capacity::fleet_size::FleetSize;
use crate::capacity::idle;
use crate::capacity::idle::WindowSettings;
use crate::capacity::report::Report;

const DAEMONS: [usize; 4] = [3, 6, 9, 18];
const DATABASES: [usize; 4] = [3, 6, 12, 24];
const ORGANISATIONS: [usize; 3] = [8, 32, 128];
const CONNECTIONS: [usize; 3] = [0, 1000, 5000];
const SESSIONS: [usize; 3] = [1, 4, 16];

/// What a measurement varies: the size of the fleet or the load on it, or the event it triggers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Axis {
    Daemons,
    Databases,
    Organisations,
    Connections,
    Statements,
    Hop,
    Changes,
    Primaries,
}

impl ValueEnum for Axis {
    fn value_variants<'a>() -> &'a [Self] {
        &[
            Self::Daemons,
            Self::Databases,
            Self::Organisations,
            Self::Connections,
            Self::Statements,
            Self::Hop,
            Self::Changes,
            Self::Primaries,
        ]
    }

    fn to_possible_value(&self) -> Option<PossibleValue> {
        Some(PossibleValue::new(match self {
            Self::Daemons => "daemons",
            Self::Databases => "databases",
            Self::Organisations => "organisations",
            Self::Connections => "connections",
            Self::Statements => "statements",
            Self::Hop => "hop",
            Self::Changes => "changes",
            Self::Primaries => "primaries",
        }))
    }
}

/// Measures the axes one after another. Writes the report as JSON if a path is given.
pub async fn run(
    axes: &[Axis],
    windows: WindowSettings,
    seed: u64,
    json: Option<PathBuf>,
) -> Result<Report, CapacityError> {
    let mut rows = Vec::new();
    for axis in axes {
        match axis {
            Axis::Daemons | Axis::Databases | Axis::Organisations => {
                // Shuffled so that a drift of the load on the machine does not appear as a slope.
                let mut sizes = fleet_sizes(*axis);
                sizes.shuffle(&mut StdRng::seed_from_u64(seed));
                for (name, axis_value, size) in sizes {
                    rows.extend(idle::measure(name, axis_value, size, windows).await?);
                }
            }
            Axis::Connections => rows.extend(clients::connections(&CONNECTIONS, seed).await?),
            Axis::Statements => rows.extend(clients::statements(&SESSIONS, windows, seed).await?),
            Axis::Hop => rows.extend(clients::hop(windows, seed).await?),
            Axis::Changes => {
                for daemons in DAEMONS {
                    let size = FleetSize {
                        daemons,
                        ..FleetSize::BASE
                    };
                    rows.extend(events::config_changes(size).await?);
                }
            }
            Axis::Primaries => {
                for daemons in [3, 9, 18] {
                    let size = FleetSize {
                        daemons,
                        ..FleetSize::BASE
                    };
                    rows.extend(events::primary_changes(size).await?);
                }
            }
        }
    }
    let command = std::env::args().collect::<Vec<_>>().join(" ");
    let report = Report::new(command, seed, rows);
    if let Some(path) = json {
        std::fs::write(path, serde_json::to_vec_pretty(&report)?)?;
    }
    Ok(report)
}

fn fleet_sizes(axis: Axis) -> Vec<(&'static str, usize, FleetSize)> {
    let base = FleetSize::BASE;
    match axis {
        Axis::Databases => DATABASES
            .map(|databases| ("databases", databases, FleetSize { databases, ..base }))
            .to_vec(),
        Axis::Organisations => ORGANISATIONS
            .map(|organisations| {
                let size = FleetSize {
                    organisations,
                    ..base
                };
                ("organisations", organisations, size)
            })
            .to_vec(),
        _ => DAEMONS
            .map(|daemons| ("daemons", daemons, FleetSize { daemons, ..base }))
            .to_vec(),
    }
}
