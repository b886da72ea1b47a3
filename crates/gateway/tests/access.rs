//! Tests of the access of open transactions.

use magnoliahatch_gateway::model::region_limit::RegionLimit;
use magnoliahatch_gateway::policy::access::Access;

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
