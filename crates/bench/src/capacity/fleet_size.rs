//! Starts and configures fleets of a given size.

use magnoliahatch_core::ids::OrganisationId;
use serde::Serialize;

use crate::capacity::error::CapacityError;
use crate::harness::binaries;
use crate::harness::error::HarnessError;
use crate::harness::fleet::Binaries;
use crate::harness::fleet::Fleet;
use crate::harness::objects;
use crate::harness::plan::ContractPlan;
use crate::harness::plan::DataCentrePlan;
use crate::harness::plan::DatabasePlan;
use crate::harness::plan::FleetPlan;
use crate::harness::plan::HostPlan;
use crate::harness::plan::Latency;
use crate::harness::plan::MemberPlan;
use crate::harness::plan::MemberTuning;
use crate::load::target::Caller;
use crate::load::target::EntryHost;

const DATA_CENTRE: &str = "dc1";
const MEMBERS_PER_DATABASE: usize = 3;
/// The limits and slots exceed what the measurements use, so that they do not affect the results.
const MAX_CONNECTIONS: u32 = 256;
const SLOTS: u32 = 64;
const RATE: f64 = 1e6;
const MAX_AGE_MS: u64 = 1000;

/// Number of daemons, databases and organisations of a fleet. Each database has three members.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct FleetSize {
    pub daemons: usize,
    pub databases: usize,
    pub organisations: usize,
}

impl FleetSize {
    pub const BASE: Self = Self {
        daemons: 3,
        databases: 3,
        organisations: 8,
    };

    /// Starts the processes, all in one data centre and without added latency.
    pub async fn start(self) -> Result<Fleet, CapacityError> {
        let binaries = Binaries {
            folder: binaries::folder()?,
            daemon: None,
        };
        let contracts: Vec<_> = (0..self.organisations).map(contract).collect();
        Ok(Fleet::start(self.plan(), &contracts, binaries).await?)
    }

    fn plan(self) -> FleetPlan {
        let databases = (0..self.databases).map(|database| DatabasePlan {
            name: database_name(database),
            slots: SLOTS,
            connections: MAX_CONNECTIONS,
            members: (0..MEMBERS_PER_DATABASE)
                .map(|member| MemberPlan {
                    name: format!("db{database}-{member}"),
                    data_centre: DATA_CENTRE.to_owned(),
                })
                .collect(),
        });
        FleetPlan {
            identify_sources: false,
            data_centres: vec![DataCentrePlan {
                name: DATA_CENTRE.to_owned(),
                region: "region".to_owned(),
            }],
            hosts: (0..self.daemons)
                .map(|host| HostPlan {
                    name: format!("host{host}"),
                    data_centre: DATA_CENTRE.to_owned(),
                })
                .collect(),
            databases: databases.collect(),
            latency: Latency::default(),
            members: MemberTuning::default(),
            daemon: serde_json::Map::new(),
        }
    }
}

/// Name of a database. Its route has the same name.
pub fn database_name(number: usize) -> String {
    format!("db{number}")
}

/// Name of an organisation.
pub fn organisation_name(number: usize) -> OrganisationId {
    format!("org{number}")
}

/// Caller that connects to a database as the first organisation.
pub fn caller(fleet: &Fleet, database: usize) -> Result<Caller, CapacityError> {
    let organisation = organisation_name(0);
    Ok(Caller {
        route: database_name(database),
        key: fleet.key(&organisation)?.to_owned(),
        organisation,
    })
}

/// SQL addresses of the daemons themselves, so that connections bypass the fault proxy.
pub fn entries(fleet: &mut Fleet) -> Result<Vec<EntryHost>, CapacityError> {
    let hosts = fleet.plan().hosts.clone();
    let entries = hosts.into_iter().map(|host| {
        let sql_address = fleet.process(&host.name)?.listen("sql")?;
        Ok(EntryHost {
            host: host.name,
            sql_address,
        })
    });
    entries.collect()
}

/// Changes the configuration by giving the first organisation's contract another rate. Returns the
/// revision of the change.
pub async fn change_contract_rate(fleet: &Fleet, number: u32) -> Result<u64, HarnessError> {
    let name = organisation_name(0);
    let mut contract = fleet.store.get("contract", &name).await?.value;
    contract["rate"] = (RATE + f64::from(number)).into();
    let stored = objects::put(&fleet.store, "contract", &name, &contract).await?;
    Ok(stored.version)
}

fn contract(number: usize) -> ContractPlan {
    ContractPlan {
        name: organisation_name(number),
        rate: RATE,
        burst: RATE,
        max_age_ms: MAX_AGE_MS,
        weight: 1,
    }
}
