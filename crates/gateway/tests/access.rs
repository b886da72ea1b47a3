//! Tests of statements that a newer configuration may forbid.

use magnoliahatch_gateway::model::configuration::Configuration;
use magnoliahatch_gateway::model::job::SessionKey;
use magnoliahatch_gateway::model::region_limit::RegionLimit;
use magnoliahatch_gateway::policy::access::Access;
use magnoliahatch_gateway::policy::access::may_send;

fn access(regions: &[&str]) -> Access {
    Access {
        organisation: "org-a".to_owned(),
        regions: regions.iter().map(|r| (*r).to_owned()).collect(),
    }
}

fn limit(regions: &[&str]) -> RegionLimit {
    regions.iter().map(|r| (*r).to_owned()).collect()
}

/// Guards against statements that run for the former organisation of a key (review/5).
#[test]
fn transaction_ends_if_its_key_belongs_to_another_organisation() {
    let access = access(&["north"]);
    assert!(access.allows(&"org-a".to_owned(), &limit(&[])));
    assert!(!access.allows(&"org-b".to_owned(), &limit(&[])));
}

/// Guards against statements that run outside the regions to which their organisation has been
/// limited meanwhile, or are forwarded through other regions.
#[test]
fn transaction_ends_if_it_leaves_the_regions_of_its_organisation() {
    let organisation = "org-a".to_owned();
    assert!(access(&["north", "south"]).allows(&organisation, &limit(&["north", "south"])));
    assert!(!access(&["north", "south"]).allows(&organisation, &limit(&["north"])));
    assert!(!access(&["south"]).allows(&organisation, &limit(&["north"])));
}

/// Guards against a host that sends a statement although its configuration, newer than that of the
/// client's host, gives the key to another organisation or to none, and against one that refuses what
/// only its older configuration forbids.
#[test]
fn newer_configuration_decides_when_a_statement_is_sent() {
    let session = SessionKey {
        database: "main".to_owned(),
        key: "key".to_owned(),
    };
    let configuration = |organisation: Option<&str>| Configuration {
        version: 7,
        keys: organisation
            .map(|o| ("key".to_owned(), o.to_owned()))
            .into_iter()
            .collect(),
        ..Configuration::default()
    };
    let send = |organisation, allowed_by| {
        let current = configuration(organisation);
        may_send(&current, allowed_by, &session, &access(&["north"]))
    };
    assert!(send(Some("org-a"), 6));
    assert!(!send(Some("org-b"), 6));
    assert!(!send(None, 6));
    assert!(send(Some("org-b"), 7));
    assert!(send(None, 8));
}
