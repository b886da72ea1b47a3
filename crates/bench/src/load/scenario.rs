//! Scenario files: the fleet, load and faults of an experiment.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;

use magnoliahatch_core::ids::OrganisationId;
use serde::Deserialize;
use serde::Serialize;

use crate::harness::plan::ContractPlan;
use crate::harness::plan::FleetPlan;
use crate::harness::plan::MemberTuning;
use crate::history::rate_limit::RateLimit;
use crate::load::error::LoadError;
use crate::load::fault_plan::FaultPlan;
use crate::load::organisation::OrganisationPlan;
use crate::load::phase::Phase;

/// A scenario: fleet, load, faults, and the variants to compare.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    pub name: String,
    /// Seed of the random numbers; drawn at random and printed if absent.
    #[serde(default)]
    pub seed: Option<u64>,
    /// Duration of the load.
    pub length_ms: u64,
    /// Number of runs of each variant.
    #[serde(default = "default_repeats")]
    pub repeats: u32,
    /// Time that a caller waits for the answer to each statement.
    #[serde(default = "default_deadline")]
    pub deadline_ms: u64,
    pub fleet: FleetPlan,
    pub organisations: Vec<OrganisationPlan>,
    #[serde(default)]
    pub faults: Vec<FaultPlan>,
    /// Parts of the run that are also reported separately.
    #[serde(default)]
    pub phases: Vec<Phase>,
    /// Variants, each compared with the first; if empty, one variant without changes runs.
    #[serde(default)]
    pub variants: Vec<Variant>,
}

/// Settings or daemon build that differ between the runs of a comparison.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Variant {
    pub name: String,
    /// Fields set in each daemon's settings file.
    #[serde(default)]
    pub daemon: serde_json::Map<String, serde_json::Value>,
    #[serde(default)]
    pub members: Option<MemberTuning>,
    /// Path of the daemon to run instead of the default build.
    #[serde(default)]
    pub daemon_binary: Option<PathBuf>,
}

impl Scenario {
    /// Checks constraints that deserialisation does not enforce.
    pub fn validate(&self) -> Result<(), LoadError> {
        let invalid = |text: String| Err(LoadError::Scenario(text));
        if let Some(place) = self.fleet.unknown_places().first() {
            return invalid(format!("fleet.data_centres has no `{place}`"));
        }
        if self.fleet.hosts.is_empty() || self.fleet.databases.is_empty() {
            return invalid("fleet.hosts and fleet.databases need at least one entry".to_owned());
        }
        for organisation in &self.organisations {
            let name = &organisation.name;
            let database_exists = |wanted: &str| {
                self.fleet
                    .databases
                    .iter()
                    .any(|found| found.name == wanted)
            };
            if let Some(missing) = organisation
                .databases
                .iter()
                .find(|name| !database_exists(name))
            {
                return invalid(format!("{name}: fleet.databases has no `{missing}`"));
            }
            let host_exists =
                |wanted: &str| self.fleet.hosts.iter().any(|found| found.name == wanted);
            if let Some(missing) = organisation.hosts.iter().find(|name| !host_exists(name)) {
                return invalid(format!("{name}: fleet.hosts has no `{missing}`"));
            }
            if !name.chars().all(|c| c.is_ascii_alphanumeric() || c == '-') {
                return invalid(format!(
                    "{name}: names consist of letters, digits and hyphens"
                ));
            }
            if organisation.sessions == 0 || organisation.rate <= 0.0 {
                return invalid(format!("{name}: sessions and rate must be above 0"));
            }
            let shares = [
                organisation.writes,
                organisation.transactions,
                organisation.roam,
            ];
            if shares.iter().any(|share| !(0.0..=1.0).contains(share)) {
                return invalid(format!(
                    "{name}: writes, transactions and roam are from 0 to 1"
                ));
            }
        }
        Ok(())
    }

    /// Duration of the load.
    pub fn length(&self) -> Duration {
        Duration::from_millis(self.length_ms)
    }

    /// Returns the variants to run, at least one.
    pub fn variants(&self) -> Vec<Variant> {
        if self.variants.is_empty() {
            let name = self.name.clone();
            return vec![Variant {
                name,
                ..Variant::default()
            }];
        }
        self.variants.clone()
    }

    /// Returns the fleet plan with the variant's changes applied.
    pub fn fleet_of(&self, variant: &Variant) -> FleetPlan {
        let mut fleet = self.fleet.clone();
        fleet.members = variant.members.unwrap_or(fleet.members);
        for (field, value) in &variant.daemon {
            fleet.daemon.insert(field.clone(), value.clone());
        }
        fleet
    }

    /// Returns the contracts to write to the store.
    pub fn contracts(&self) -> Vec<ContractPlan> {
        let contract = |plan: &OrganisationPlan| ContractPlan {
            name: plan.name.clone(),
            rate: plan.rate,
            burst: plan.burst,
            max_age_ms: plan.max_age_ms,
            weight: plan.weight,
        };
        self.organisations.iter().map(contract).collect()
    }

    /// Returns the limits against which the history is checked.
    pub fn limits(&self) -> BTreeMap<OrganisationId, RateLimit> {
        let limit = |plan: &OrganisationPlan| RateLimit {
            rate: plan.rate,
            burst: plan.burst,
        };
        self.organisations
            .iter()
            .map(|plan| (plan.name.clone(), limit(plan)))
            .collect()
    }
}

fn default_repeats() -> u32 {
    1
}

fn default_deadline() -> u64 {
    12_000
}
