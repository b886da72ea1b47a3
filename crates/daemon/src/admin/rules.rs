//! Validation rules for the configuration as a whole.

use std::collections::BTreeMap;

use magnoliahatch_client::config_view::ConfigView;
use magnoliahatch_client::objects::access::Access;
use magnoliahatch_client::objects::contract::Contract;
use magnoliahatch_client::objects::database::Database;
use magnoliahatch_client::objects::host_record::HostRecord;
use magnoliahatch_client::objects::kind;
use magnoliahatch_client::objects::route::Route;
use magnoliahatch_core::ids::HostId;

use crate::admin::error::RuleError;

/// Smallest group in which a majority remains after the loss of one member.
const MIN_MEMBERS: usize = 3;

/// Returns all violated rules.
pub fn violations(view: &ConfigView) -> Vec<RuleError> {
    let mut errors = Vec::new();
    for (name, contract) in &view.contracts {
        check_contract(name, contract, &mut errors);
    }
    for (name, route) in &view.routes {
        check_route(name, route, view, &mut errors);
    }
    for (name, database) in &view.databases {
        check_database(name, database, view, &mut errors);
    }
    check_unique_members(view, &mut errors);
    check_capacity(view, &mut errors);
    let in_service =
        |(name, host): (&HostId, &HostRecord)| view.host_in_service(name, &host.data_centre);
    if !view.hosts.is_empty() && !view.hosts.iter().any(in_service) {
        errors.push(RuleError::NoHostLeft);
    }
    errors
}

fn check_contract(name: &str, contract: &Contract, errors: &mut Vec<RuleError>) {
    let mut require = |holds: bool, field, found: String, allowed| {
        if !holds {
            errors.push(RuleError::Field {
                kind: kind::CONTRACT,
                name: name.to_owned(),
                field,
                found,
                allowed,
            });
        }
    };
    let Contract { rate, burst, .. } = contract;
    require(
        rate.is_finite() && *rate > 0.0,
        "rate",
        rate.to_string(),
        "it must be above 0; withdraw the contract to stop all service",
    );
    require(
        burst.is_finite() && *burst >= 1.0,
        "burst",
        burst.to_string(),
        "it must be at least 1, or no statement could ever start",
    );
    require(
        contract.weight > 0,
        "weight",
        contract.weight.to_string(),
        "it must be at least 1, or the fair queue would never serve the organisation",
    );
    require(
        contract.idle_in_transaction_ms > 0,
        "idle_in_transaction_ms",
        contract.idle_in_transaction_ms.to_string(),
        "it must be at least 1, or every transaction would be rolled back",
    );
}

fn check_route(name: &str, route: &Route, view: &ConfigView, errors: &mut Vec<RuleError>) {
    if !view.databases.contains_key(&route.database) {
        errors.push(RuleError::UnknownDatabase {
            route: name.to_owned(),
            database: route.database.clone(),
        });
    }
    match (route.access, &route.organisation) {
        (Access::Open, None) => errors.push(RuleError::OpenWithoutOrganisation {
            route: name.to_owned(),
        }),
        (Access::Open, Some(organisation)) if !view.contracts.contains_key(organisation) => {
            errors.push(RuleError::UnknownOrganisation {
                route: name.to_owned(),
                organisation: organisation.clone(),
            });
        }
        (Access::Key, Some(organisation)) => errors.push(RuleError::Field {
            kind: kind::ROUTE,
            name: name.to_owned(),
            field: "organisation",
            found: organisation.clone(),
            allowed: "leave it out, since callers of a route with `access: key` name their own",
        }),
        _ => {}
    }
}

fn check_database(name: &str, database: &Database, view: &ConfigView, errors: &mut Vec<RuleError>) {
    let mut require = |holds: bool, field, found: String, allowed| {
        if !holds {
            errors.push(RuleError::Field {
                kind: kind::DATABASE,
                name: name.to_owned(),
                field,
                found,
                allowed,
            });
        }
    };
    require(
        database.members.len() >= MIN_MEMBERS,
        "members",
        format!("a list of {}", database.members.len()),
        "name at least 3, so that a majority survives the loss of one",
    );
    require(
        database.connections > 0,
        "connections",
        database.connections.to_string(),
        "it must be at least 1",
    );
    require(
        database.slots > 0,
        "slots",
        database.slots.to_string(),
        "it must be at least 1",
    );
    if let Some(rate) = database.member_rate {
        require(
            rate.is_finite() && rate > 0.0,
            "member_rate",
            rate.to_string(),
            "it must be above 0, or left out if it is not known",
        );
    }
    let mut members = database.members.iter();
    if !database.members.is_empty() && !members.any(|member| view.member_in_service(member)) {
        errors.push(RuleError::NoMemberLeft {
            database: name.to_owned(),
        });
    }
}

/// Checks that names and addresses of members are unique: placements name a member without its
/// database, and members are told apart by their addresses.
fn check_unique_members(view: &ConfigView, errors: &mut Vec<RuleError>) {
    let mut names = BTreeMap::new();
    let mut addresses = BTreeMap::new();
    for (database, group) in &view.databases {
        for member in &group.members {
            let mut require = |other: Option<&String>, what| {
                if let Some(other) = other {
                    errors.push(RuleError::DuplicateMember {
                        what,
                        member: member.name.clone(),
                        database: database.clone(),
                        other: other.clone(),
                    });
                }
            };
            require(names.insert(&member.name, database), "the name");
            require(addresses.insert(member.address, database), "the address");
        }
    }
}

/// Checks the sum of all rates against the total capacity. This is a necessary condition only,
/// since the distribution of statements over databases and members is unknown.
fn check_capacity(view: &ConfigView, errors: &mut Vec<RuleError>) {
    let served = view
        .databases
        .values()
        .map(|database| Some(database.member_rate? * database.members.len() as f64));
    let capacity: Option<f64> = served.sum();
    let total: f64 = view.contracts.values().map(|contract| contract.rate).sum();
    if let Some(capacity) = capacity.filter(|capacity| *capacity > 0.0 && total > *capacity) {
        errors.push(RuleError::RatesExceedCapacity { total, capacity });
    }
}
